//! Calls between nodes over TCP. Messages have a length prefix; each connection carries one call
//! and its reply.

use crate::allowance::{UsageSource, WorkspaceUsage};
use crate::facts::{FactKind, KnownFacts};
use crate::memory::RecoveryMemory;
use crate::register::{AcceptedValue, BallotNumber, PhaseReply, RegisterChange, RegisterValue};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum size of a message, in bytes. Leaves room for the largest document that operators may
/// send.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;
/// Timeout of connecting to a node, in ms. Allows several round trips, but not the retransmission
/// of a lost packet.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Timeout of a call, in ms. Allows for the sync of a slow disk.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Call to another node.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerCall {
    /// Prepare phase of a round, for the replica on the given disk. The reply omits the value of
    /// the ballot `held`, which the caller has.
    Prepare { disk: u64, ballot: BallotNumber, held: Option<BallotNumber> },
    /// Accept phase of a round.
    Accept { disk: u64, ballot: BallotNumber, value: RegisterValue },
    /// Reads the ballot of the newest value that the replica has accepted.
    ReadBallot { disk: u64 },
    /// Reads the applied value and, for a caller that has just started, the recovery memory.
    ReadApplied { with_memory: bool },
    /// Forwards a change of the register to the node.
    Change(RegisterChange),
    /// Reads the usage of allowances, for a caller that has just started.
    ReadUsage,
    /// Reads all facts of one kind that the node knows.
    ReadFacts(FactKind),
}

/// Reply to a call.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerReply {
    Phase(PhaseReply),
    /// The ballot is promised. The newest value accepted before has the ballot `held` of the call.
    PromisedHeld,
    Ballot(Option<BallotNumber>),
    Applied {
        value: Option<AcceptedValue>,
        /// State that a node loads after its start.
        memory: RecoveryMemory,
    },
    /// The change is applied and this value is chosen.
    Changed(AcceptedValue),
    /// The node has another disk or none.
    WrongDisk,
    /// The call failed, for instance because the state could not be made durable.
    Failed(String),
    /// Usage of allowances within the window, and where the node has it from.
    Usage {
        source: UsageSource,
        usage: Vec<WorkspaceUsage>,
    },
    Facts(KnownFacts),
}

/// Error of a call.
#[derive(Debug)]
#[derive(Error)]
pub(crate) enum CallError {
    #[error("the node did not answer in time")]
    Timeout,
    #[error("the connection to the node failed")]
    Io(#[from] std::io::Error),
    #[error("failed to encode or decode a message")]
    Codec(#[from] postcard::Error),
    #[error("the message of {0} bytes is too long")]
    TooLong(u32),
}

/// What a connection attempt tells of the process at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessState {
    /// The host refuses connections, so no process listens there.
    Ended,
    /// The connection was accepted, at least by the kernel of the host.
    Running,
    /// There was no answer in time, or none that tells.
    Unknown,
}

/// Finds out whether a process listens at the address of a node, also if it is frozen.
pub(crate) async fn probe(address: SocketAddrV4) -> ProcessState {
    let connect = TcpStream::connect(address);
    match tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connect).await {
        Ok(Ok(_)) => ProcessState::Running,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProcessState::Ended,
        Ok(Err(_)) | Err(_) => ProcessState::Unknown,
    }
}

/// Calls a node and waits for its reply.
pub(crate) async fn call(address: SocketAddrV4, call: &PeerCall) -> Result<PeerReply, CallError> {
    let exchange = async {
        let connect = TcpStream::connect(address);
        let connected =
            tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connect).await;
        let mut stream = connected.map_err(|_| CallError::Timeout)??;
        stream.set_nodelay(true)?;
        write_message(&mut stream, call).await?;
        read_message(&mut stream).await
    };
    tokio::time::timeout(Duration::from_millis(CALL_TIMEOUT_MS), exchange)
        .await
        .map_err(|_| CallError::Timeout)?
}

/// Reads a length-prefixed message.
pub(crate) async fn read_message<M: DeserializeOwned>(
    stream: &mut TcpStream,
) -> Result<M, CallError> {
    let length = stream.read_u32().await?;
    if length > MAX_MESSAGE_BYTES {
        return Err(CallError::TooLong(length));
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(postcard::from_bytes(&bytes)?)
}

/// Writes a length-prefixed message.
pub(crate) async fn write_message<M: Serialize + Sync>(
    stream: &mut TcpStream,
    message: &M,
) -> Result<(), CallError> {
    let bytes = postcard::to_stdvec(message)?;
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    if length > MAX_MESSAGE_BYTES {
        return Err(CallError::TooLong(length));
    }
    let framed = [length.to_be_bytes().as_slice(), &bytes].concat();
    stream.write_all(&framed).await?;
    Ok(())
}
