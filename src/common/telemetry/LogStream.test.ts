import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import type { LogSink } from "./LogSink.ts";
import { LogStream } from "./LogStream.ts";

const INFO = 30;
const ERROR = 50;

/** A sink that accepts `capacity` more bytes; tests set it again to let more through. */
class FakeSink implements LogSink {
  readonly #written: Buffer[] = [];
  capacity: number;

  constructor(capacity = Infinity) {
    this.capacity = capacity;
  }

  write(chunk: Buffer, done: (written: number) => void): void {
    done(this.#accept(chunk));
  }

  writeNow(chunk: Buffer): void {
    this.#accept(chunk);
  }

  get text(): string {
    return Buffer.concat(this.#written).toString();
  }

  get lines(): Record<string, unknown>[] {
    return this.text
      .split("\n")
      .filter((line) => line !== "")
      .map((line) => JSON.parse(line) as Record<string, unknown>);
  }

  #accept(chunk: Buffer): number {
    const written = chunk.subarray(0, Math.min(this.capacity, chunk.length));
    this.#written.push(written);
    this.capacity -= written.length;
    return written.length;
  }
}

function open(capacity?: number) {
  const clock = new FakeClock();
  const sink = new FakeSink(capacity);
  const stream = new LogStream(sink, clock);
  const write = (n: number, level = INFO, fields = {}) => {
    for (let i = 0; i < n; i++) {
      stream.write({ level, time: new Date(0), n: i, ...fields });
    }
  };
  return { clock, sink, stream, write };
}

test("LogStream: lines are written in order, in one batch", async (t) => {
  const { clock, sink, write } = open();
  write(3);
  t.is(sink.text, "");
  await clock.advance(60);
  t.deepEqual(
    sink.lines.map((l) => l.n),
    [0, 1, 2],
  );
});

test("LogStream: a blocked reader loses lines, and their number is logged once it reads again", async (t) => {
  const { clock, sink, stream, write } = open(0);
  for (let second = 0; second < 20; second++) {
    write(300, INFO, { pad: "x".repeat(200) });
    await clock.advance(1000);
  }
  t.is(sink.text, "");
  t.true(stream.dropped > 4000, `dropped ${String(stream.dropped)}`);
  sink.capacity = Infinity;
  await clock.advance(200);
  const { lines } = sink;
  t.true(sink.text.length < 300 * 1024, "the buffer is bounded");
  const reports = lines.filter((l) => l.msg === "log lines dropped");
  const reported = reports.reduce((sum, l) => sum + Number(l.lines), 0);
  t.is(reported, stream.dropped);
  t.is(lines.length - reports.length + stream.dropped, 20 * 300);
});

test("LogStream: a reader that accepts a few bytes at a time receives complete lines", async (t) => {
  const { clock, sink, write } = open(7);
  write(5, INFO, { text: "größer" });
  for (let i = 0; i < 60; i++) {
    await clock.advance(100);
    sink.capacity = 7;
  }
  t.deepEqual(
    sink.lines.map((l) => l.text),
    Array(5).fill("größer"),
  );
});

test("LogStream: a burst of lines is limited, and errors are still written", async (t) => {
  const { clock, sink, stream, write } = open();
  for (let i = 0; i < 10; i++) {
    write(1000);
    write(5, ERROR);
    await clock.advance(100);
  }
  await clock.advance(100);
  const errors = sink.lines.filter((l) => l.level === ERROR);
  t.is(errors.length, 50);
  t.true(stream.dropped > 9000, `dropped ${String(stream.dropped)}`);
});

test("LogStream: buffered lines are written when the process ends", (t) => {
  const { sink, stream, write } = open();
  write(2);
  stream.flush();
  t.is(sink.lines.length, 2);
});

test("LogStream: a record that cannot be serialized does not stop later ones", async (t) => {
  const { clock, sink, stream, write } = open();
  const circular: Record<string, unknown> = {};
  circular.circular = circular;
  stream.write({ level: INFO, time: new Date(0), circular });
  write(1);
  await clock.advance(60);
  t.is(sink.lines.length, 2);
});
