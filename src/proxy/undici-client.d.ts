/**
 * Types of undici's client module. It is imported directly because loading all of undici would
 * double the start-up time of a program.
 */
declare module "undici/lib/dispatcher/client.js" {
  import { Client } from "undici";

  export default Client;
}
