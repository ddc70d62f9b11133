// Replaces node:http2 in the bundle. Workers speak HTTP/1.1 only, and loading Node's http2 module
// would add 40 ms to every start and increase memory use; undici works without it.
module.exports = { constants: {} };
