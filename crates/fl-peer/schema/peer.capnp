@0xbd2c6f0e9a4471d3;
# What nodes ask of each other. The Rust code in src/peer_capnp.rs is made from this file by
# scripts/generate-peer.sh and committed, so that the build needs no generator.

struct Id {
  high @0 :UInt64;
  low @1 :UInt64;
}

# A stamp of the sender's hybrid logical clock, so that events at the receiver come after it.
struct Stamp {
  timeMs @0 :UInt64;
  counter @1 :UInt32;
}

struct StreamPlace {
  runner @0 :Text;
  address @1 :Text;
  streamId @2 :Text;
  attempt @3 :UInt32;
  baseOffset @4 :UInt64;
}

struct RequestRecord {
  id @0 :Id;
  workspace @1 :Text;
  class @2 :Text;
  deferrable @3 :Bool;
  bodyJson @4 :Text;
  fingerprint @5 :UInt64;
  owner @6 :Text;
  guardian @7 :Text;
  epoch @8 :UInt32;
  stream @9 :StreamPlace;
  acceptedAtMs @10 :UInt64;
  deadlineAtMs @11 :UInt64;
  restarts @12 :List(Restart);
}

struct Restart {
  epoch @0 :UInt32;
  fromOffset @1 :UInt64;
}

struct HandedRequest {
  record @0 :RequestRecord;
  tokens @1 :List(Text);
}

struct TokenBatch {
  enum State {
    running @0;
    whole @1;
    failed @2;
    moved @3;
  }
  tokens @0 :List(Text);
  state @1 :State;
  problemJson @2 :Text;
}

struct News {
  union {
    leaving :group {
      vm @0 :Text;
      atMs @1 :UInt64;
    }
    judged :group {
      fingerprint @2 :UInt64;
      quarantined @3 :Bool;
    }
  }
}

enum ClaimStatus {
  notKnown @0;
  released @1;
  running @2;
  ended @3;
}

interface Peer {
  # Keeps a copy of a record as its guardian.
  putRecord @0 (record :RequestRecord, stamp :Stamp) -> (stamp :Stamp);
  # Drops the copy; the request ended.
  dropRecord @1 (id :Id, epoch :UInt32) -> ();
  # The record of a request, from its owner or its guardian.
  findRecord @2 (id :Id) -> (found :Bool, record :RequestRecord);
  # Makes the receiver the owner.
  handOver @3 (handed :HandedRequest, stamp :Stamp) -> (stamp :Stamp);
  # Takes a request from its guardian.
  takeOver @4 (id :Id, newOwner :Text, seenEpoch :UInt32, stamp :Stamp)
    -> (found :Bool, handed :HandedRequest, stamp :Stamp);
  # Reads tokens from the owner, waiting for the first.
  readTokens @5 (id :Id, offset :UInt64, waitMs :UInt64) -> (found :Bool, batch :TokenBatch);
  # What the owner of a claim says of it.
  claimStatus @6 (id :Id, stamp :Stamp) -> (status :ClaimStatus, stamp :Stamp);
  # The configuration in force, if above a version; a JSON body as in the object store.
  fetchConfiguration @7 (aboveVersion :UInt64) -> (found :Bool, bodyJson :Text);
  # Small news.
  tell @8 (news :List(News), stamp :Stamp) -> (stamp :Stamp);
  # The list of VMs as the peer knows it, a JSON body as the platform gives it.
  fetchVms @9 () -> (vmsJson :Text);
  # Keeps events of the time line for a node that goes away; a JSON list.
  keepEvents @10 (eventsJson :Text) -> ();
}
