//! RPC between brokers and egresses, and heartbeats between egresses.
//!
//! Calls use `capnp-rpc` over TCP; a heartbeat is one packed Cap'n Proto message in a UDP datagram.
//! The generated code is committed, so that a build needs no generator; `docs/STYLE.md` has the
//! command that generates it.
//!
//! ```
//! use member::Heartbeat;
//!
//! let heartbeat = Heartbeat {
//!     host: "egress-1".into(),
//!     incarnation: 3,
//!     epoch: 2,
//!     sequence: 1,
//!     ack: 0,
//!     ack_incarnation: 0,
//!     withdrawn: Default::default(),
//!     config: 9,
//!     leaving: false,
//!     entry: None,
//!     roster: None,
//! };
//! let bytes = wire::encode(&heartbeat);
//! assert!(bytes.len() < 100);
//! assert_eq!(wire::decode(&bytes).expect("an encoded heartbeat"), heartbeat);
//! ```

mod call;
mod heartbeat;
#[allow(missing_docs, unused_qualifications, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod node_capnp;

pub use crate::call::{Connection, accept, connect};
pub use crate::heartbeat::{decode, encode};
