/**
 * A client of the pages that "do not wait for the first `safe` request to be answered before
 * sending more": it keeps `depth` requests under way on one connection. It heeds `Connection:
 * close`: what it sent behind such an answer counts as not read.
 */
import { connect } from "node:net";
import { HOST } from "./plan.mjs";
import { nowMs } from "./fleet.mjs";

let count = 0;

export class PipeliningClient {
  /** All requests sent, in order. `state`: open, answered, not-read or cut. */
  requests = [];
  isClosed = false;
  #open = [];
  #text = Buffer.alloc(0);
  #isClosing = false;
  #isStopped = false;

  constructor({ name, ip, port, path, depth, timeLeftMs, record }) {
    Object.assign(this, { name, path, depth, timeLeftMs, record });
    this.socket = connect(port, ip);
    this.socket.setNoDelay(true);
    this.socket.on("connect", this.#fill);
    this.socket.on("data", this.#read);
    this.socket.on("error", (error) => this.record.note(`${name}: ${error.code}`));
    this.socket.on("close", this.#close);
  }

  /** Sends no more requests; the connection is closed once all are answered. */
  stop = () => {
    this.#isStopped = true;
    if (this.#open.length === 0) this.socket.end();
  };

  #fill = () => {
    while (!this.#isStopped && !this.#isClosing && this.#open.length < this.depth) {
      count += 1;
      const id = `${this.name}-${count}`;
      const sent = { id, client: this.name, sentMs: nowMs(), state: "open" };
      this.requests.push(sent);
      this.#open.push(sent);
      this.record.note(`${this.name}: ${id} sent`);
      this.socket.write(
        `GET ${this.path} HTTP/1.1\r\nHost: ${HOST}\r\nYewreel-Try-Id: ${id}\r\n` +
          `Yewreel-Time-Left-Ms: ${this.timeLeftMs}\r\n\r\n`,
      );
    }
    if (this.#isStopped && this.#open.length === 0) this.socket.end();
  };

  #read = (chunk) => {
    this.#text = Buffer.concat([this.#text, chunk]);
    for (;;) {
      const end = this.#text.indexOf("\r\n\r\n");
      if (end < 0) return;
      const head = this.#text.subarray(0, end).toString("latin1");
      const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
      if (this.#text.length < end + 4 + length) return;
      this.#text = this.#text.subarray(end + 4 + length);
      const answered = this.#open.shift();
      if (!answered) {
        this.record.note(`${this.name}: an answer although no request is open`);
        return;
      }
      answered.status = Number(head.slice(9, 12));
      answered.endedMs = nowMs();
      answered.state = "answered";
      this.record.note(`${this.name}: ${answered.id} answered ${answered.status}`);
      if (/^connection: *close/im.test(head)) {
        this.#isClosing = true;
        this.#open.splice(0).forEach((behind) => {
          behind.state = "not-read";
          behind.endedMs = nowMs();
        });
        this.socket.end();
        return;
      }
      this.#fill();
    }
  };

  #close = () => {
    this.isClosed = true;
    this.#open.splice(0).forEach((request) => {
      request.state = "cut";
      request.endedMs = nowMs();
      this.record.note(
        `${this.name}: ${request.id} cut: its connection was closed without an answer`,
      );
    });
  };
}
