//! A watch call that discovery turns away after it waited in the queue is taken for a confirmation of the list.

#[path = "../common-2/kit.rs"]
mod kit;

use kit::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const MACHINES: usize = 14;
const FRONTS: usize = 10;
const DRAINED: usize = 4;
const BUILD: u16 = 41;
/// Requests a second at each front.
const RATE: f64 = 40.0;
/// How long discovery's queue is full, from the first change on.
const CROWDED: f64 = 0.060;
/// When the second change is made, counted from the first.
const CHANGE_AFTER: f64 = 0.080;
/// "a change counts as told at the latest 6 s after discovery had it and could be reached".
const TOLD_AT_THE_LATEST: f64 = 6.0;
/// The grace of the deployment, and 50 ms for every time limit on sockets.
const GRACE: f64 = 0.500 + 0.050;

const SETTINGS: &str = r#"{
"Bounds":{"ConnIdleUs":15000000,"ConnectTimeoutUs":250000,"MaxAttempts":5,"MaxRetryAfterUs":1000000,
 "MayCancel":true,"Peers":false,"Probes":true,"RetryAfter":true,"SecondCopies":true},
"Classes":[
 {"Name":"dock-status","AimUs":1000000,"DeadlineUs":3000000,"Effect":"repeatable","Worth":1.0},
 {"Name":"rider-account","AimUs":1000000,"DeadlineUs":2500000,"Effect":"repeatable","Worth":1.0},
 {"Name":"start-hire","AimUs":800000,"DeadlineUs":2500000,"DedupScope":"all","Effect":"by_key","WindowUs":2500000,"LateWorth":0.2,"Worth":5.0}],
"Domain":{"VoteMode":"by_count","AyesNeeded":5,"ToAbort":1,"CallTimeoutUs":1200000,"VotesPerS":400.0,
 "VoteStandsUs":4000000,"NewsPeriodUs":2000000,"LeastStageUs":1500000,"ExposureCaps":[0.06,0.24,0.8,1.0],
 "StageShare":[0.03,0.12,0.4,1.0],"ExposureWindowUs":3000000,"SpareTries":1.0,"Style":"parallel","CountedBy":"all"},
"HostTypes":["small-2core"],"Localities":["depot-room"],"Me":0,"MembershipMode":"ask","PeersTotal":10,
"Report":{"Fields":["tps"],"Source":"probe"},
"Safety":{"AnswerSlackUs":20000,"AskWithinUs":10000000,"ColdFrom":0.35,"DrainGraceUs":500000,"FallUs":2000000,
 "TipMultiple":3.0,"WarmAfterUs":4300000},
"Tenants":[],"Zone":0}"#;

/// One front with its clients.
struct Stage {
    setup: FrontSetup,
    door: Door,
    process: Process,
    clients: Arc<Clients>,
}

fn load(clients: Arc<Clients>, stop: Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let begun = now();
        for n in 0u64.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            sleep_until(begun + n as f64 / RATE);
            let get = |class| Call { method: "GET", target: format!("/{class}"), class, budget: 2.0, body: vec![] };
            clients.send(if n % 2 == 0 { get("dock-status") } else { get("rider-account") });
        }
    })
}

fn main() {
    let trouble = begin(100.0);
    let machines: Vec<Machine> =
        (0..MACHINES).map(|n| Machine::start(&format!("box-{n:02}"), Mode::Serve(0.070))).collect();
    let listed = machines.iter().map(|m| Endpoint::new(m, "depot-room", "small-2core", BUILD)).collect();
    let discovery = Discovery::start(listed);
    let rollout = Rollout::new(BUILD, 3, "stable", 1.0);
    let news = rollout.json();
    let platform = Platform::start(rollout);
    let mut stages: Vec<Stage> = (0..FRONTS)
        .map(|n| {
            let name = format!("f{n}");
            let door = discovery.door(&name);
            let setup = FrontSetup {
                listen: free_address(),
                discovery: door.address,
                platform: platform.address,
                news: news.clone(),
                known: discovery.whole(),
                settings: SETTINGS.replace("\"Me\":0", &format!("\"Me\":{n}")),
                name,
            };
            let process = setup.start();
            setup.wait_until_ready();
            let clients = Arc::new(Clients::start(&setup.name, setup.listen, 40, 3.0));
            Stage { setup, door, process, clients }
        })
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let loads: Vec<_> = stages.iter().map(|s| load(Arc::clone(&s.clients), Arc::clone(&stop))).collect();
    sleep(4.0);
    // The first change answers all watches; the fronts call again, and these calls are many at once.
    if trouble {
        record("discovery's queue of calls is full");
        discovery.crowded.store(true, Ordering::SeqCst);
    }
    let first = now();
    discovery.change(&machines[MACHINES - 1].name, |e| e.since_ms = unix_ms() - 60_000);
    sleep_until(first + CROWDED);
    discovery.crowded.store(false, Ordering::SeqCst);
    sleep_until(first + CHANGE_AFTER);
    let had = now();
    let mut version = 0;
    for machine in &machines[..DRAINED] {
        version = discovery.change(&machine.name, |e| e.status = "draining");
    }
    sleep(10.0);
    stop.store(true, Ordering::SeqCst);
    loads.into_iter().for_each(|l| drop(l.join()));
    sleep(2.0);
    let (mut late, mut served) = (0, 0);
    for stage in &mut stages {
        if stage.process.has_ended() {
            finish(BROKEN, "a front has crashed");
        }
        served += lock(&stage.clients.done).iter().filter(|d| d.status == 200).count();
        // Told when it was written to the front, or at the latest 6 s after discovery had it.
        let written = stage.door.told_at(version);
        let told = written.map_or(had + TOLD_AT_THE_LATEST, |t| t.min(had + TOLD_AT_THE_LATEST));
        record(format!("{} was told at {told:.3} (written at {written:?})", stage.setup.name));
        for machine in &machines[..DRAINED] {
            let seen = machine.seen();
            let own = seen.iter().filter(|s| s.id.starts_with(&format!("{}-", stage.setup.name)));
            for request in own.filter(|s| s.first_byte > told + GRACE) {
                late += 1;
                record(format!(
                    "BROKEN: {} got {} {:.3} s after {} was told that it drains",
                    machine.name,
                    request.id,
                    request.first_byte - told,
                    stage.setup.name
                ));
            }
        }
        stage.process.end();
    }
    if served < 500 {
        could_not_run(&format!("only {served} requests were served"));
    }
    let verdict = format!("{late} sends to draining machines past the grace, in {DRAINED} drains; {served} served");
    finish(if late > 0 { BROKEN } else { HELD }, &verdict)
}
