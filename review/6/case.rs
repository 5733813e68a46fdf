//! With the store switched on, a post is answered with the answer to another client's post of the same subject.

#[path = "../common-2/kit.rs"]
mod kit;

use kit::*;
use std::collections::BTreeSet;

const MACHINES: usize = 14;
const BUILD: u16 = 41;
/// Posts a second; one in twenty is about the popular subject, so these come 1 s apart.
const RATE: f64 = 20.0;
const SECONDS: f64 = 15.0;
const POPULAR: u64 = 20;

const SETTINGS: &str = r#"{
"Bounds":{"ConnIdleUs":15000000,"ConnectTimeoutUs":250000,"MaxAttempts":4,"MaxRetryAfterUs":1000000,
 "MayCancel":true,"Peers":false,"Probes":true,"RetryAfter":true,"SecondCopies":false},
"Classes":[
 {"Name":"browse","AimUs":500000,"DeadlineUs":2000000,"Effect":"repeatable","LateWorth":0.2,"Worth":1.0},
 {"Name":"post","AimUs":300000,"DeadlineUs":750000,"DedupScope":"all","Effect":"by_key","WindowUs":500000,"LateWorth":0.2,"Worth":2.0}],
"Domain":{"VoteMode":"by_count","AyesNeeded":1,"ToAbort":1,"CallTimeoutUs":1200000,"VotesPerS":500.0,
 "VoteStandsUs":4000000,"NewsPeriodUs":6000000,"LeastStageUs":2000000,"ExposureCaps":[0.06,0.24,0.8,1.0],
 "StageShare":[0.03,0.12,0.4,1.0],"ExposureWindowUs":2000000,"SpareTries":2.0,"Style":"parallel","CountedBy":"all"},
"HostTypes":["small-2core"],"Localities":["austin-dc"],"Me":0,"MembershipMode":"push","PeersTotal":2,
"Report":{"Fields":["mean_ms","tps"],"Source":"probe"},
"Safety":{"AnswerSlackUs":20000,"AskWithinUs":10000000,"ColdFrom":0.33,"DrainGraceUs":250000,"FallUs":3000000,
 "TipMultiple":4.0,"WarmAfterUs":3900000},
"Tenants":[{"Name":"gulf-trader","QuotaRps":1000.0,"Share":1.0}],"Zone":0}"#;

fn main() {
    let trouble = begin(60.0);
    let machines: Vec<Machine> =
        (0..MACHINES).map(|n| Machine::start(&format!("box-{n:02}"), Mode::Serve(0.050))).collect();
    let listed = machines.iter().map(|m| Endpoint::new(m, "austin-dc", "small-2core", BUILD)).collect();
    let discovery = Discovery::start(listed);
    let rollout = Rollout::new(BUILD, 3, "stable", 1.0);
    let news = rollout.json();
    let platform = Platform::start(rollout);
    let setup = FrontSetup {
        name: "f0".to_owned(),
        listen: free_address(),
        discovery: discovery.door("f0").address,
        platform: platform.address,
        news,
        known: discovery.whole(),
        settings: SETTINGS.replace("\"PeersTotal\":2", "\"PeersTotal\":1"),
    };
    // The operator's file with the section that switches the store on, all values left out but the directory.
    let (directory, operator) = (temp().join("store"), temp().join("operator.sexp"));
    let text = format!("(store (directory {:?}))\n", directory.display().to_string());
    if std::fs::create_dir(&directory).is_err() || std::fs::write(&operator, text).is_err() {
        could_not_run("no directory for the store");
    }
    let mut front = setup.start_with(&format!("{} serve --operator {}", run_command(), operator.display()));
    setup.wait_until_ready();
    let clients = Clients::start("c", setup.listen, 50, 3.0);
    clients.use_own_keys();
    let begun = now();
    for n in 0..(RATE * SECONDS) as u64 {
        sleep_until(begun + n as f64 / RATE);
        let popular = trouble && n % POPULAR == 0;
        let key = if popular { 77 } else { 1_000 + n };
        clients.send(Call {
            method: "POST",
            target: format!("/post?key={key}"),
            class: "post",
            budget: 0.750,
            body: format!("reply {n} by its own author").into_bytes(),
        });
    }
    sleep(2.0);
    if front.has_ended() {
        finish(BROKEN, "the front has crashed");
    }
    front.end();
    let sent: BTreeSet<String> = machines.iter().flat_map(Machine::seen).map(|s| s.id).collect();
    let (mut foreign, mut served) = (0, 0);
    for done in lock(&clients.done).iter().filter(|d| d.status == 200) {
        served += 1;
        let answer = String::from_utf8_lossy(&done.body).into_owned();
        if !answer.ends_with(&format!(" ran {}", done.id)) {
            foreign += 1;
            record(format!(
                "BROKEN: {} was served with {answer:?}; it {} a box",
                done.id,
                if sent.contains(&done.id) { "came to" } else { "never came to" }
            ));
        }
    }
    if served < 100 {
        could_not_run(&format!("only {served} posts were served"));
    }
    let verdict = format!("{foreign} of {served} posts served with the answer to another client's post");
    finish(if foreign > 0 { BROKEN } else { HELD }, &verdict)
}
