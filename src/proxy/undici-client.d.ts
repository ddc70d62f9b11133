/** The client alone: all of undici would double the start of a program. */
declare module "undici/lib/dispatcher/client.js" {
  import { Client } from "undici";

  export default Client;
}
