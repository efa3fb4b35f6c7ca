@0xd5c1f0a94b7e2a63;
# Messages between brokers and egresses. Regenerate with the command in docs/STYLE.md.

struct Part {
  part @0 :UInt32;
  upstream @1 :Text;
}

struct Batch {
  query @0 :UInt64;
  requestId @1 :Text;
  service @2 :Text;
  operation @3 :Text;
  body @4 :Data;
  snapshot @5 :UInt64;
  budgetMicros @6 :UInt64;
  traceparent @7 :Text;
  parts @8 :List(Part);
}

struct Answer {
  part @0 :UInt32;
  outcome @1 :Outcome;
  reason @2 :Text;
  snapshot @3 :UInt64;
  shard @4 :UInt32;
  shards @5 :UInt32;
  body @6 :Data;
}

enum Outcome {
  ran @0;
  notRun @1;
  unknown @2;
}

interface Sink {
  push @0 (answers :List(Answer)) -> ();
}

interface Node {
  search @0 (batch :Batch, sink :Sink) -> ();
  cancel @1 (query :UInt64, parts :List(UInt32)) -> ();
  follow @2 (known :Data) -> (update :Data);
  claim @3 (requestId :Text) -> (verdict :Verdict);
  notRun @4 (requestId :Text) -> ();
  release @5 (body :Data) -> ();
}

enum Verdict {
  granted @0;
  repeated @1;
  unknown @2;
  notOwner @3;
  refused @4;
}

struct Heartbeat {
  # One datagram of membership between egresses.
  host @0 :Text;
  incarnation @1 :UInt64;
  epoch @2 :UInt64;
  sequence @3 :UInt64;
  ackSequence @4 :UInt64;
  ackIncarnation @5 :UInt64;
  withdrawn @6 :List(Text);
  config @7 :UInt64;
  leaving @8 :Bool;
  entry @9 :Data;
  # JSON, only while the receiver may not know the sender.
  roster @10 :Data;
  # JSON, only when the receiver was last seen with an older one.
}
