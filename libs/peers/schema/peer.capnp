@0xb3d1c5e0a9f47c21;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("hyssop::peers::wire");

struct Position {
  term @0 :Int64;
  index @1 :Int64;
}

struct Record {
  json @0 :Text;
}

struct Applied {
  # What an entry host reports about itself when it asks for records.
  host @0 :Text;
  dataCentre @1 :Text;
  position @2 :Position;
}

enum ExecuteStatus {
  done @0;          # The command was committed; reply holds the ledger's answer.
  notLeader @1;     # Nothing was recorded; leader may name the one to ask.
  unavailable @2;   # Nothing was recorded.
  unknown @3;       # The command may yet be committed.
  noQuorum @4;      # Nothing was recorded; too few voters of the group are in reach.
}

interface Peer {
  watch @0 (applied :Applied, waitMs :Int64)
      -> (position :Position, confirmed :Bool, changed :Bool, records :List(Record));
  # Returns once records newer than the reported position are there, or after waitMs.

  execute @1 (group :Text, command :Data)
      -> (status :ExecuteStatus, reply :Data, leader :Text);
  # Proposes a ledger command and answers once it is committed.

  replicate @2 (group :Text, sender :Text, body :Data) -> ();
  # A message between replicas of a group.

  gossip @3 (sender :Text, body :Data) -> ();
  # Membership and load of a host, to the hosts of its data centre.

  query @4 (topic :Text, body :Data) -> (body :Data);
  # Reads state that is not on the log.
}
