//! Calls between nodes over TCP: a length, then a message, one answer for each call.

use crate::memory::RecoveryMemory;
use crate::register::{AcceptedValue, BallotNumber, PhaseReply, RegisterChange, RegisterValue};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Largest message, in bytes: a document of the largest size that operators may send.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;
/// Longest time to connect to a node, in ms: some round trips, and a lost packet is not waited for.
const CONNECT_MS: u64 = 300;
/// Longest time for a call, in ms: a slow disk syncs within it.
const CALL_MS: u64 = 1_500;

/// A call to another node.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerCall {
    /// First phase of a round, at the replica on the given disk. The value accepted under the ballot
    /// `held` is not sent back, since the caller has it.
    Prepare { disk: u64, ballot: BallotNumber, held: Option<BallotNumber> },
    /// Second phase of a round.
    Accept { disk: u64, ballot: BallotNumber, value: RegisterValue },
    /// Ballot of the newest value that the replica has accepted.
    ReadBallot { disk: u64 },
    /// Newest value that the node knows to be chosen, and its memory for a node that has just started.
    ReadApplied { with_memory: bool },
    /// Has the node change the register.
    Change(RegisterChange),
}

/// Answer to a call.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerReply {
    Phase(PhaseReply),
    /// Promised; the newest value accepted before is the one that the caller holds.
    PromisedHeld,
    Ballot(Option<BallotNumber>),
    Applied {
        value: Option<AcceptedValue>,
        /// What a node that has just started takes over.
        memory: RecoveryMemory,
    },
    /// The register was changed, and this value is chosen.
    Changed(AcceptedValue),
    /// The node answers from another disk, or from none.
    WrongDisk,
    /// The state could not be made durable.
    Failed(String),
}

/// A call without an answer.
#[derive(Debug)]
#[derive(Error)]
pub(crate) enum CallError {
    #[error("the node did not answer in time")]
    Timeout,
    #[error("connection to the node")]
    Io(#[from] std::io::Error),
    #[error("encoding or decoding a message")]
    Codec(#[from] postcard::Error),
    #[error("the message of {0} bytes is too long")]
    TooLong(u32),
}

/// Calls a node and waits for its answer.
pub(crate) async fn call(address: SocketAddrV4, call: &PeerCall) -> Result<PeerReply, CallError> {
    let exchange = async {
        let connect = TcpStream::connect(address);
        let connected = tokio::time::timeout(Duration::from_millis(CONNECT_MS), connect).await;
        let mut stream = connected.map_err(|_| CallError::Timeout)??;
        stream.set_nodelay(true)?;
        write_message(&mut stream, call).await?;
        read_message(&mut stream).await
    };
    tokio::time::timeout(Duration::from_millis(CALL_MS), exchange)
        .await
        .map_err(|_| CallError::Timeout)?
}

/// Reads a message.
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

/// Writes a message.
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
