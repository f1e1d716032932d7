import test from "ava";
import { SidecarId } from "../../common/ids/SidecarId.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { ZoneName } from "../../common/ids/ZoneName.ts";
import { TargetState } from "../TargetState.ts";
import { TargetTable } from "../TargetTable.ts";
import { MAX_ANNOUNCEMENT_DELAY_MS } from "./MAX_ANNOUNCEMENT_DELAY_MS.ts";

/**
 * `ready`: an announcement that was sent before the target left, or by a sound target. `restart`: the sidecar is killed and
 * started again. `contact`: the other member gets the sidecar's entry, and replies. `wait`: announcements from before the
 * departure can no longer be on their way.
 */
type Event = "ready" | "restart" | "contact" | "wait";

/** A sidecar that can be restarted, and another member, on a fake clock. */
class Pair {
  #now = 0;
  #sequence = 0;
  readonly #born: number;
  readonly #witness = this.#createTable("witness", 1);
  #table = this.#createTable("self", 1);

  constructor(born: number) {
    this.#born = born;
  }

  apply(event: Event): void {
    this.#now += 100;
    switch (event) {
      case "ready":
        this.announce(TargetState.Ready, ++this.#sequence);
        return;
      case "restart":
        this.#table = this.#createTable("self", this.#table.own.incarnation + 1);
        this.#table.beginRecovery();
        return;
      case "contact":
        this.copy();
        this.#table.restoreDepartures(this.#witness.predecessorOf("self")?.departed ?? []);
        this.#table.endRecovery();
        return;
      case "wait":
        this.#now += MAX_ANNOUNCEMENT_DELAY_MS;
        this.#table.expireRecovery();
    }
  }

  announce(state: TargetState, sequence: number): void {
    const target = { target_id: "t", service: "svc", url: "http://127.0.0.1:1", slots: 4 };
    this.#table.announce({ ...target, state, health_path: "", born: this.#born }, sequence);
  }

  withdraw(): void {
    this.#table.withdraw(TargetId("t"), this.#born);
  }

  /** Sends the sidecar's entry to the other member. */
  copy(): void {
    this.#table.refreshOwn();
    this.#witness.merge([structuredClone(this.#table.own)]);
  }

  get isReady(): boolean {
    return this.#table.localTargets().some((t) => t.state === TargetState.Ready);
  }

  #createTable(id: string, incarnation: number): TargetTable {
    const address = `127.0.0.1:${id.length}`;
    const self = { id: SidecarId(id), peerAddress: address, zone: ZoneName("z"), incarnation };
    return new TargetTable({ ...self, hopAddress: address }, () => this.#now);
  }
}

function permutations<T>(items: readonly T[]): T[][] {
  return items.length === 0
    ? [[]]
    : items.flatMap((item, n) =>
        permutations(items.filter((_, m) => m !== n)).map((rest) => [item, ...rest]),
      );
}

/** Distinct orders of events after the departure. */
const ordersOf = (events: readonly Event[]) => [
  ...new Set(permutations(events).map((order) => order.join(" "))),
];

const departures: readonly { name: string; leave: (pair: Pair) => void }[] = [
  {
    name: "withdrawal",
    leave: (pair) => {
      pair.withdraw();
    },
  },
  {
    name: "draining",
    leave: (pair) => {
      pair.announce(TargetState.Draining, 9);
    },
  },
];

for (const { name, leave } of departures) {
  for (const born of [0, 700]) {
    const title = `acknowledged ${name} ${born > 0 ? "with" : "without"} a start time: no order of late announcements`;
    test(`${title}, restarts and contacts makes the target ready again`, (t) => {
      // Guards against departures that only the process knows which has acknowledged them.
      const orders = [
        ...ordersOf(["ready", "restart", "contact", "restart", "contact"]),
        ...ordersOf(["ready", "ready", "ready", "restart", "contact", "restart"]),
      ];
      t.true(orders.length > 60);
      for (const order of orders) {
        const pair = new Pair(born);
        pair.apply("ready");
        leave(pair);
        pair.copy();
        order.split(" ").forEach((event, n) => {
          pair.apply(event as Event);
          t.false(pair.isReady, `${order}, after event ${n}`);
        });
      }
    });
  }
}

for (const { events, readyAfter } of [
  { events: "restart contact ready", readyAfter: 2 },
  { events: "restart ready contact", readyAfter: 2 },
  { events: "restart ready ready contact", readyAfter: 3 },
  { events: "restart wait ready", readyAfter: 2 },
  { events: "restart ready wait ready", readyAfter: 3 },
  { events: "restart restart contact ready", readyAfter: 3 },
]) {
  test(`sound target after ${events}: it is ready at once`, (t) => {
    // Guards against sound targets that stay idle after a restart of their sidecar.
    const pair = new Pair(0);
    pair.apply("ready");
    pair.copy();
    const states = events.split(" ").map((event) => {
      pair.apply(event as Event);
      return pair.isReady;
    });
    t.is(states.lastIndexOf(false), readyAfter - 1);
    t.is(states.length, readyAfter + 1);
  });
}

test("a draining target that is started again under its id is ready, though its sequence numbers begin anew", (t) => {
  // Guards against targets that stay idle since their sidecar knows the draining of their previous process.
  const pair = new Pair(0);
  pair.announce(TargetState.Draining, 9);
  pair.copy();
  pair.apply("restart");
  pair.apply("contact");
  pair.apply("ready");
  pair.apply("ready");
  pair.apply("ready");
  t.false(pair.isReady);
  pair.apply("wait");
  pair.apply("ready");
  t.true(pair.isReady);
});
