@0xd5f0a6f3c1b2e947;
# Link between two processes of burdockcleat.
#
# Regenerate src/link_capnp.rs after a change: see docs/contributing.md.

struct Hello {
  version @0 :UInt32;
  # Version of the frames. A process refuses a peer with another version.
  role @1 :Role;
  node @2 :UInt64;
  # Identity of this run of the process or of its data folder.
  secret @3 :Data;
  # Shared secret of the deployment.

  enum Role {
    entry @0;
    control @1;
  }
}

interface Link {
  open @0 (hello :Hello, sink :Sink) -> (hello :Hello, sink :Sink);
  # Exchanges identities and the capabilities that frames are sent to.
}

interface Sink {
  deliver @0 (frames :List(Data)) -> ();
  # Takes a batch of frames in order. The answer bounds the number of batches in flight.
}
