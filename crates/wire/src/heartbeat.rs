//! Encoding of heartbeats as datagrams.

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;
use member::Heartbeat;

use crate::node_capnp::heartbeat;

/// Encodes a heartbeat as a datagram.
pub fn encode(heartbeat: &Heartbeat) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut root = message.init_root::<heartbeat::Builder<'_>>();
    root.set_host(&*heartbeat.host);
    root.set_incarnation(heartbeat.incarnation);
    root.set_epoch(heartbeat.epoch);
    root.set_sequence(heartbeat.sequence);
    root.set_ack_sequence(heartbeat.ack);
    root.set_ack_incarnation(heartbeat.ack_incarnation);
    root.set_config(heartbeat.config);
    root.set_leaving(heartbeat.leaving);
    if let Some(entry) = &heartbeat.entry {
        root.set_entry(&serde_json::to_vec(entry).unwrap_or_default());
    }
    if let Some(roster) = &heartbeat.roster {
        root.set_roster(&serde_json::to_vec(roster).unwrap_or_default());
    }
    let mut withdrawn = root.init_withdrawn(heartbeat.withdrawn.len() as u32);
    for (index, host) in heartbeat.withdrawn.iter().enumerate() {
        withdrawn.set(index as u32, &**host);
    }
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &message).expect("writing to a Vec cannot fail");
    bytes
}

/// Decodes a heartbeat from a datagram.
///
/// # Errors
///
/// Fails when the bytes are not a packed heartbeat message, or when its entry or roster is not
/// valid JSON for the type.
pub fn decode(mut bytes: &[u8]) -> capnp::Result<Heartbeat> {
    let message = serialize_packed::read_message(&mut bytes, ReaderOptions::new())?;
    let root = message.get_root::<heartbeat::Reader<'_>>()?;
    let mut withdrawn = std::collections::BTreeSet::new();
    for host in root.get_withdrawn()? {
        withdrawn.insert(host?.to_str()?.into());
    }
    Ok(Heartbeat {
        host: root.get_host()?.to_str()?.into(),
        incarnation: root.get_incarnation(),
        epoch: root.get_epoch(),
        sequence: root.get_sequence(),
        ack: root.get_ack_sequence(),
        ack_incarnation: root.get_ack_incarnation(),
        withdrawn,
        config: root.get_config(),
        leaving: root.get_leaving(),
        entry: json(root.get_entry()?)?,
        roster: json(root.get_roster()?)?,
    })
}

fn json<T: for<'a> serde::Deserialize<'a>>(bytes: &[u8]) -> capnp::Result<Option<T>> {
    if bytes.is_empty() {
        return Ok(None);
    }
    serde_json::from_slice(bytes).map(Some).map_err(|error| capnp::Error::failed(error.to_string()))
}
