//! A whole deployment on loopback in one process: stand-ins, egresses and brokers.

mod cluster;

pub use crate::cluster::{Cluster, Node, Options, consortium, orzech_pol, ready_upstreams};
