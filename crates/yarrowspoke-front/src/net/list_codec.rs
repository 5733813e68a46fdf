//! Decoding of discovery's lists.

use crate::input::{ListContent, Row};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use yarrowspoke::interface::{MachineEntry, MachineId, MachineState, Micros};
use yarrowspoke_settings::Names;

/// A decoded response of discovery.
#[derive(Clone, Debug, Default)]
pub struct ListResponse {
    /// Version of the list.
    pub index: u64,
    /// Whether this is the whole list rather than a delta.
    pub is_snapshot: bool,
    /// Machines of the list, or those that changed.
    pub rows: Vec<Row>,
    /// Number of lines that could not be decoded.
    pub unreadable: usize,
    /// Machines named in such lines, as far as their names could be decoded.
    pub undecoded: Vec<MachineId>,
}

impl ListResponse {
    /// Returns what the response states. `asked_whole` says that the whole list was asked for, and not changes.
    pub fn into_content(self, asked_whole: bool) -> ListContent {
        let Self { rows, undecoded, .. } = self;
        match (self.is_snapshot || asked_whole, self.unreadable > 0) {
            (true, true) => ListContent::PartialSnapshot { rows, undecoded },
            (true, false) => ListContent::Snapshot(rows),
            (false, true) => ListContent::PartialDelta { rows, undecoded },
            (false, false) => ListContent::Delta(rows),
        }
    }
}

/// A list whose lines stay text until each is decoded on its own: thousands of lines decoded at once take ten times
/// the memory of the list.
#[derive(Deserialize)]
struct WireList<'a> {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    #[serde(default, borrow)]
    endpoints: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct WireMachine {
    name: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: f64,
    status: String,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    since_ms: f64,
    #[serde(default)]
    build: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// Decodes a list from its JSON text. A line that cannot be decoded is skipped, so that the other lines are still
/// used.
pub fn decode(json: &[u8], names: &Names) -> Result<ListResponse, serde_json::Error> {
    let wire: WireList = serde_json::from_slice(json)?;
    let mut rows = Vec::with_capacity(wire.endpoints.len());
    let (mut unreadable, mut undecoded) = (0, Vec::new());
    for raw in &wire.endpoints {
        match decode_line(raw, names) {
            Ok(row) => rows.push(row),
            Err(machine) => {
                unreadable += 1;
                undecoded.extend(machine);
            }
        }
    }
    Ok(ListResponse { index: wire.index, is_snapshot: wire.snapshot, unreadable, undecoded, rows })
}

/// Decodes one line; an error holds the machine that it names, if that much can be decoded.
fn decode_line(raw: &RawValue, names: &Names) -> Result<Row, Option<MachineId>> {
    // Decoded through a JSON value, since a repeated field name is no reason to skip the line.
    let line: serde_json::Value = serde_json::from_str(raw.get()).map_err(|_| None)?;
    let row = WireMachine::deserialize(&line).ok().and_then(|wire| decode_row(&wire, names));
    let name = line.get("name").and_then(serde_json::Value::as_str);
    row.ok_or_else(|| name.filter(|name| is_valid_name(name)).map(machine_id))
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_graphic())
}

fn decode_row(wire: &WireMachine, names: &Names) -> Option<Row> {
    let state = match wire.status.as_str() {
        "up" => MachineState::Ready,
        "draining" => MachineState::Draining,
        "removed" => MachineState::Gone,
        _ => return None,
    };
    let address: Option<SocketAddr> = wire.address.parse().ok();
    if address.is_none() && state != MachineState::Gone {
        return None;
    }
    // Corrupt bytes in place of a name would create a machine of no zone or kind, or one that never existed.
    let index_of = |all: &[String], name: &str| match all.iter().position(|n| n == name) {
        None if name.is_empty() || all.is_empty() => Some(usize::MAX),
        at => at,
    };
    let is_u16 = |n: f64| (0.0..=f64::from(u16::MAX)).contains(&n) && n.fract() == 0.0;
    if !is_valid_name(&wire.name) || !is_u16(wire.build) || !is_u16(wire.group) {
        return None;
    }
    let entry = MachineEntry {
        machine: machine_id(&wire.name),
        zone: index_of(&names.zones, &wire.zone)?.min(usize::from(u16::MAX)) as u16,
        kind: index_of(&names.kinds, &wire.kind)?.min(usize::from(u8::MAX)) as u8,
        build: wire.build as u16,
        cell: wire.group as u16,
        state,
        weight: if wire.weight.is_finite() && wire.weight > 0.0 { wire.weight } else { 1.0 },
        started_at: (wire.since_ms * 1_000.0) as Micros,
    };
    Some(Row { address, entry })
}

/// Returns the id under which the decision module knows a machine; it is derived from the name and thus the same at
/// all fronts.
pub fn machine_id(name: &str) -> MachineId {
    fnv1a(name)
}

/// Computes the 32-bit FNV-1a hash.
pub(super) fn fnv1a(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}
