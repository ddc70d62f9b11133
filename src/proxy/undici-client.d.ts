/**
 * Only the client is imported: loading all of undici would double the start-up time of a program.
 */
declare module "undici/lib/dispatcher/client.js" {
  import { Client } from "undici";

  export default Client;
}
