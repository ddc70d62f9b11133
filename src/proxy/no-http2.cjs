// Workers speak HTTP/1.1 only. Node's own http2 would cost every start 40 ms and its memory; undici does without it.
module.exports = { constants: {} };
