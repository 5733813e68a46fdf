//! Two toy machines with discovery and a platform, at the addresses that `examples/config.json` names.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use yarrowspoke_toy::{Behaviour, Discovery, Machine, Platform};

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn main() -> io::Result<()> {
    let discovery = Discovery::start(at(8500))?;
    let platform = Platform::start(at(6400), "41 0 stable 1.0 60000")?;
    for (name, port) in [("toy-1", 5101), ("toy-2", 5102)] {
        let machine = Machine::start(at(port), Behaviour::Serve)?;
        discovery.list(name, machine.address, "up", 41);
        println!("{name} serves on {}", machine.address);
    }
    println!("discovery on {}, platform on {}; end with Ctrl-C", discovery.address, platform.address);
    loop {
        std::thread::sleep(Duration::from_secs(1));
        platform.breathe();
    }
}
