//! The list of machines as this front holds it, and what a response of discovery takes away from it.
//!
//! In a whole list absence is a statement: a machine that it does not name has been removed. Changes say nothing of the
//! machines that they do not name.

use crate::input::{ListContent, Row};
use std::collections::{BTreeMap, BTreeSet};
use yarrowspoke::interface::{Build, ListUpdate, MachineId, MachineState};

/// The rows of the machines that were listed last.
#[derive(Default)]
pub struct ListedMachines {
    rows: BTreeMap<MachineId, Row>,
}

impl ListedMachines {
    /// Applies an update that the decision module gets as well.
    pub fn apply(&mut self, kind: ListUpdate, rows: &[Row]) {
        if matches!(kind, ListUpdate::Snapshot | ListUpdate::Cached) {
            self.rows.clear();
        }
        self.rows.extend(rows.iter().map(|row| (row.entry.machine, row.clone())));
    }

    /// Returns the build that a machine was listed with.
    pub fn build(&self, machine: MachineId) -> Option<Build> {
        self.rows.get(&machine).map(|row| row.entry.build)
    }

    /// Returns whether a machine is listed as ready with this build.
    pub fn is_ready(&self, machine: MachineId, build: Build) -> bool {
        self.ready_row(machine).is_some_and(|row| row.entry.build == build)
    }

    fn ready_row(&self, machine: MachineId) -> Option<&Row> {
        self.rows.get(&machine).filter(|row| row.entry.state == MachineState::Ready)
    }

    /// Returns rows that remove the machines which a whole list does not name. `undecoded` are machines that it names in
    /// lines which could not be decoded.
    pub fn removed_by_absence(&self, listed: &[Row], undecoded: &[MachineId]) -> Vec<Row> {
        let named: BTreeSet<MachineId> =
            listed.iter().map(|row| row.entry.machine).chain(undecoded.iter().copied()).collect();
        let is_missing =
            |row: &&Row| row.entry.state != MachineState::Gone && !named.contains(&row.entry.machine);
        self.rows.values().filter(is_missing).map(|row| with_state(row, MachineState::Gone)).collect()
    }

    /// Returns rows for what `content` takes away: machines that drain, that are gone, and those in whose place another
    /// process was started. The process that took its place is not among them, as is nothing else that `content` adds.
    pub fn restricted_by(&self, content: &ListContent) -> Vec<Row> {
        let (rows, undecoded) = match content {
            ListContent::Snapshot(rows) => (rows, Some([].as_slice())),
            ListContent::PartialSnapshot { rows, undecoded } => (rows, Some(undecoded.as_slice())),
            ListContent::PartialDelta { rows, .. } | ListContent::Delta(rows) => (rows, None),
            ListContent::Failed | ListContent::Unreadable => return Vec::new(),
        };
        let mut restricted: Vec<Row> = rows.iter().filter_map(|row| self.restricted_by_row(row)).collect();
        if let Some(undecoded) = undecoded {
            restricted.extend(self.removed_by_absence(rows, undecoded));
        }
        restricted
    }

    fn restricted_by_row(&self, row: &Row) -> Option<Row> {
        let held = self.ready_row(row.entry.machine)?;
        if row.entry.state != MachineState::Ready {
            return Some(row.clone());
        }
        let process = |row: &Row| (row.address, row.entry.build, row.entry.started_at);
        (process(row) != process(held)).then(|| with_state(held, MachineState::Draining))
    }
}

fn with_state(row: &Row, state: MachineState) -> Row {
    let mut row = row.clone();
    row.entry.state = state;
    row
}
