import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import type { LogOutlet } from "./LogOutlet.ts";
import { LogStream } from "./LogStream.ts";

const INFO = 30;
const ERROR = 50;

/** An outlet whose reader takes at most `room` bytes until more is given. */
class Reader implements LogOutlet {
  readonly #taken: Buffer[] = [];
  room: number;

  constructor(room = Infinity) {
    this.room = room;
  }

  write(chunk: Buffer, done: (taken: number) => void): void {
    done(this.#take(chunk));
  }

  writeNow(chunk: Buffer): void {
    this.#take(chunk);
  }

  get text(): string {
    return Buffer.concat(this.#taken).toString();
  }

  get lines(): Record<string, unknown>[] {
    return this.text
      .split("\n")
      .filter((line) => line !== "")
      .map((line) => JSON.parse(line) as Record<string, unknown>);
  }

  #take(chunk: Buffer): number {
    const taken = chunk.subarray(0, Math.min(this.room, chunk.length));
    this.#taken.push(taken);
    this.room -= taken.length;
    return taken.length;
  }
}

function open(room?: number) {
  const clock = new FakeClock();
  const reader = new Reader(room);
  const stream = new LogStream(reader, clock);
  const write = (n: number, level = INFO, fields = {}) => {
    for (let i = 0; i < n; i++) {
      stream.write({ level, time: new Date(0), n: i, ...fields });
    }
  };
  return { clock, reader, stream, write };
}

test("lines come out in order, gathered into one write", async (t) => {
  const { clock, reader, write } = open();
  write(3);
  t.is(reader.text, "");
  await clock.advance(60);
  t.deepEqual(
    reader.lines.map((l) => l.n),
    [0, 1, 2],
  );
});

test("a reader that takes nothing costs lines, and what was left out is said once it reads again", async (t) => {
  const { clock, reader, stream, write } = open(0);
  for (let second = 0; second < 20; second++) {
    write(300, INFO, { pad: "x".repeat(200) });
    await clock.advance(1000);
  }
  t.is(reader.text, "");
  t.true(stream.leftOut > 4000, `left out ${String(stream.leftOut)}`);
  reader.room = Infinity;
  await clock.advance(200);
  const { lines } = reader;
  t.true(reader.text.length < 300 * 1024, "what waited was bounded");
  const notes = lines.filter((l) => l.msg === "log lines left out");
  const said = notes.reduce((sum, l) => sum + Number(l.lines), 0);
  t.is(said, stream.leftOut);
  t.is(lines.length - notes.length + stream.leftOut, 20 * 300);
});

test("a reader that takes a few bytes at a time gets whole lines in the end", async (t) => {
  const { clock, reader, write } = open(7);
  write(5, INFO, { text: "größer" });
  for (let i = 0; i < 60; i++) {
    await clock.advance(100);
    reader.room = 7;
  }
  t.deepEqual(
    reader.lines.map((l) => l.text),
    Array(5).fill("größer"),
  );
});

test("a storm of lines is cut to the bound, and errors still come through", async (t) => {
  const { clock, reader, stream, write } = open();
  for (let i = 0; i < 10; i++) {
    write(1000);
    write(5, ERROR);
    await clock.advance(100);
  }
  await clock.advance(100);
  const errors = reader.lines.filter((l) => l.level === ERROR);
  t.is(errors.length, 50);
  t.true(stream.leftOut > 9000, `left out ${String(stream.leftOut)}`);
});

test("what waits is written when the process ends", (t) => {
  const { reader, stream, write } = open();
  write(2);
  stream.flush();
  t.is(reader.lines.length, 2);
});

test("a record that is no JSON leaves the stream working", async (t) => {
  const { clock, reader, stream, write } = open();
  const self: Record<string, unknown> = {};
  self.self = self;
  stream.write({ level: INFO, time: new Date(0), self });
  write(1);
  await clock.advance(60);
  t.is(reader.lines.length, 2);
});
