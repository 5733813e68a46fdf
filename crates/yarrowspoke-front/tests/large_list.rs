//! Tests that a front reads a list of the expected future size, serves with it and stays within its memory limit.

mod common;
mod scripted;

use common::{free_port, temp_file, wait_until};
use scripted::{listing, Peer, Program};

/// Number of machines that the operators expect, and the memory limit of a front in KiB.
const MACHINES: usize = 9_700;
const MEMORY_KIB: u64 = 32 * 1024;

/// Returns a line of the greatest usual length.
fn line(n: usize) -> String {
    format!(
        r#"{{"name":"s-{n:08x}","address":"127.1.{}.{}:5000","zone":"a","type":"m","group":{},"status":"up","weight":1.0,"since_ms":1796182000000,"build":41}}"#,
        n / 250,
        1 + n % 250,
        n % 260
    )
}

fn peak_kib(program: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse().unwrap()
}

#[test]
fn a_list_of_the_size_to_come_is_read_and_served_by() {
    // A list over the limit is rejected as a whole at each call, and the front would never be ready.
    let lines: Vec<_> = (0..MACHINES).map(line).collect();
    let full_list = listing(7, true, &lines);
    for known in [false, true] {
        let (discovery, platform, listen) = (Peer::start(), Peer::start(), free_port());
        let empty_list = r#"{"index": 0, "snapshot": true, "endpoints": []}"#;
        let config = include_str!("../../../examples/config.json")
            .replace("127.0.0.1:5000", &listen.to_string())
            .replace("127.0.0.1:8500", &discovery.address.to_string())
            .replace("127.0.0.1:6400", &platform.address.to_string())
            .replace(empty_list, if known { &full_list } else { empty_list })
            .replace("\"ask\"", "\"push\"")
            .replace("\"AskWithinUs\": 10000000, ", "");
        let program = Program::start(&temp_file("config.json", &config), listen);
        let mut watch = discovery.connection();
        let asked = watch.message().unwrap();
        assert!(asked.start().contains(if known { "from=7" } else { "from=0" }), "{asked:?}");
        watch.answer(&full_list);
        let next = watch.message().unwrap();
        assert!(next.start().contains("from=7") && !next.start().contains("hold_ms=0"), "{next:?}");
        wait_until("it is up", || program.is_up());
        let peak = peak_kib(&program);
        assert!(peak < MEMORY_KIB, "{peak} KiB at its peak");
    }
}
