//! Beats as datagrams.

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;
use member::Heartbeat;

use crate::node_capnp::heartbeat;

/// Returns the datagram of a beat.
pub fn encode(beat: &Heartbeat) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut root = message.init_root::<heartbeat::Builder<'_>>();
    root.set_host(&*beat.host);
    root.set_incarnation(beat.incarnation);
    root.set_epoch(beat.epoch);
    root.set_sequence(beat.sequence);
    root.set_ack_sequence(beat.ack);
    root.set_ack_incarnation(beat.ack_incarnation);
    root.set_config(beat.config);
    root.set_leaving(beat.leaving);
    if let Some(entry) = &beat.entry {
        root.set_entry(&serde_json::to_vec(entry).unwrap_or_default());
    }
    if let Some(roster) = &beat.roster {
        root.set_roster(&serde_json::to_vec(roster).unwrap_or_default());
    }
    let mut withdrawn = root.init_withdrawn(beat.withdrawn.len() as u32);
    for (place, host) in beat.withdrawn.iter().enumerate() {
        withdrawn.set(place as u32, &**host);
    }
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &message).expect("a Vec takes all bytes");
    bytes
}

/// Reads the datagram of a beat.
///
/// # Errors
///
/// Fails when the bytes are no beat.
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
    serde_json::from_slice(bytes).map(Some).map_err(|e| capnp::Error::failed(e.to_string()))
}
