/** The client alone: the whole of undici, with what browsers have, would double a program's start. */
declare module "undici/lib/dispatcher/client.js" {
  import { Client } from "undici";

  export default Client;
}
