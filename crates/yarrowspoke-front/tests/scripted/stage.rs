//! The program's configuration, with scripted discovery and platform in it.

use super::{entry, listing, Peer, Program, Wire};
use crate::common::{free_port, temp_file};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Scripted discovery and platform, and the program's configuration among them.
pub struct Stage {
    pub discovery: Peer,
    pub platform: Peer,
    pub config: String,
    pub listen: SocketAddr,
}

/// A list without machines.
pub const EMPTY: &str = r#"{"index": 0, "snapshot": true, "endpoints": []}"#;

impl Stage {
    /// `known` is the list in the configuration.
    pub fn set(known: &str) -> Self {
        let (discovery, platform, listen) = (Peer::start(), Peer::start(), free_port());
        let config = include_str!("../../../../examples/config.json")
            .replace("127.0.0.1:5000", &listen.to_string())
            .replace("127.0.0.1:8500", &discovery.address.to_string())
            .replace("127.0.0.1:6400", &platform.address.to_string())
            .replace(EMPTY, known);
        Self { discovery, platform, config, listen }
    }

    pub fn told(mut self, from: &str, to: &str) -> Self {
        assert!(self.config.contains(from), "{from}");
        self.config = self.config.replace(from, to);
        self
    }

    pub fn start(&self) -> Program {
        Program::start(&temp_file("config.json", &self.config), self.listen)
    }

    /// Starts the program as a member of the fleet in this operator's file.
    pub fn start_in_fleet(&self, operator: &std::path::Path) -> Program {
        Program::start_with_operator(operator, &temp_file("config.json", &self.config), self.listen)
    }

    /// Answers the first call of the watch with this list.
    pub fn open_watch(&self, list: &str) -> Wire {
        let mut watch = self.discovery.connection();
        let asked = watch.message().unwrap();
        assert!(asked.start().contains("hold_ms=0"), "{asked:?}");
        watch.answer(list);
        watch
    }

    /// Starts the program with a watch on these machines, all on build 41, that is held until an update.
    pub fn watched(&self, machines: &[&Peer]) -> (Program, Wire) {
        let addresses: Vec<_> = machines.iter().map(|m| m.address).collect();
        self.watched_at(&addresses)
    }

    /// Does the same with machines at these addresses.
    pub fn watched_at(&self, machines: &[SocketAddr]) -> (Program, Wire) {
        let program = self.start();
        (program, self.open_held_watch(machines))
    }

    /// Lists these machines as ready on build 41, on a watch that is held until an update.
    pub fn open_held_watch(&self, machines: &[SocketAddr]) -> Wire {
        let lines: Vec<_> =
            machines.iter().enumerate().map(|(n, m)| entry(&format!("s-{n}"), *m, "up", 41, 0)).collect();
        let mut watch = self.open_watch(&listing(7, true, &lines));
        assert!(watch.message().unwrap().start().contains("from=7"));
        watch
    }
}

/// Returns the line of a ready machine on build 41.
pub fn up(n: usize, machine: &Peer) -> String {
    entry(&format!("s-{n}"), machine.address, "up", 41, 0)
}

/// Writes an operator's file of a fleet with the front `toy` and planners at these addresses, named `p0` and on.
pub fn fleet_file(planners: &[SocketAddr]) -> PathBuf {
    let members: Vec<_> = planners
        .iter()
        .enumerate()
        .map(|(n, address)| format!("(member (name p{n}) (role planner) (address \"{address}\"))"))
        .collect();
    let front = "(member (name toy) (role front) (zone a))";
    let terms = "(lease 2) (renew 0.2) (most-out 1) (alone serve)";
    temp_file("operator.sexp", &format!("(fleet {terms}\n{front}\n{})", members.join("\n")))
}
