//! The store under the started program: killed at any moment, nothing runs twice and no answer is contradicted.

mod common;

use common::{run_program, temp_file, TestEnvironment};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use yarrowspoke_toy::Behaviour;

static DIRS: AtomicUsize = AtomicUsize::new(0);

fn directory() -> PathBuf {
    let number = DIRS.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("yarrowspoke-store-{}-{number}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

fn section(dir: &std::path::Path, more: &str) -> String {
    format!("(store (directory \"{}\") {more})", dir.display())
}

fn comment(id: &str) -> String {
    format!("POST /comment HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Caller: acme\r\nX-Budget: 4.0\r\nContent-Length: 2\r\n\r\nhi")
}

/// Runs of each comment at the machines.
fn runs(world: &TestEnvironment) -> BTreeMap<String, usize> {
    let mut out = BTreeMap::new();
    for message in world.machines.iter().flat_map(|m| m.seen()) {
        if message.start().starts_with("POST") {
            *out.entry(message.field("x-call-id").unwrap_or("").to_owned()).or_default() += 1;
        }
    }
    out
}

/// Kills a front so many times under load, and lets every client ask again for what it did not hear, and for some that it
/// did. Comments that ran twice, answers that were contradicted, and comments in all.
fn kill_again_and_again(kills: usize, operator: Option<&str>) -> (usize, usize, usize) {
    let behaviours = [Behaviour::ServeLate(3), Behaviour::Serve, Behaviour::ServeLate(1), Behaviour::Break];
    let mut world = match operator {
        Some(text) => TestEnvironment::with_rules(&behaviours, text),
        None => TestEnvironment::start(&behaviours),
    };
    let heard: Arc<Mutex<BTreeMap<String, Vec<String>>>> = Arc::default();
    for round in 0..kills {
        let over = Arc::new(AtomicBool::new(false));
        let listen = world.listen;
        let clients: Vec<_> = (0..4)
            .map(|client| {
                let (over, heard) = (Arc::clone(&over), Arc::clone(&heard));
                std::thread::spawn(move || {
                    for n in 0..2_000 {
                        if over.load(Ordering::Relaxed) {
                            return;
                        }
                        let id = format!("c{round}-{client}-{n}");
                        heard.lock().unwrap().entry(id.clone()).or_default();
                        let Some(mut line) = common::connect(listen) else { return };
                        let Some(answer) = line.request(&comment(&id)) else { return };
                        heard.lock().unwrap().entry(id).or_default().push(answer.start().to_owned());
                    }
                })
            })
            .collect();
        // A moment drawn from the round; what it meets differs from run to run, the verdict does not.
        std::thread::sleep(Duration::from_millis(10 + (round as u64 * 37) % 60));
        world.kill();
        over.store(true, Ordering::Relaxed);
        clients.into_iter().for_each(|c| c.join().unwrap());
        world.restart();
        let ask: Vec<(String, usize)> =
            heard.lock().unwrap().iter().map(|h| (h.0.clone(), h.1.len())).collect();
        let prefix = format!("c{round}-");
        for (n, (id, answers)) in ask.into_iter().filter(|a| a.0.starts_with(&prefix)).enumerate() {
            if answers == 0 || n % 7 == 0 {
                let answer = world.client().request(&comment(&id)).unwrap();
                heard.lock().unwrap().entry(id).or_default().push(answer.start().to_owned());
            }
        }
    }
    let runs = runs(&world);
    let doubled = runs.values().filter(|n| **n > 1).count();
    let heard = heard.lock().unwrap();
    let sort = |a: &String| if a.contains(" 200 ") { 0 } else { 1 };
    let contradicted = heard.values().filter(|a| a.iter().any(|x| sort(x) != sort(&a[0]))).count();
    (doubled, contradicted, heard.len())
}

#[test]
fn killed_again_and_again_no_comment_runs_twice_and_no_answer_is_contradicted() {
    let dir = directory();
    let kills = std::env::var("YARROWSPOKE_KILLS").ok().and_then(|n| n.parse().ok()).unwrap_or(12);
    let (doubled, contradicted, all) = kill_again_and_again(kills, Some(&section(&dir, "(delay 0)")));
    assert_eq!((doubled, contradicted), (0, 0), "of {all} comments");
    assert!(all >= kills, "{all} comments in {kills} rounds");
    eprintln!("with the store: {doubled} of {all} comments twice after {kills} kills");
    let out = run_program(&["store", "verify", dir.to_str().unwrap()]);
    assert!(out.status.success(), "{out:?}");
    if std::env::var("YARROWSPOKE_KILLS").is_ok() {
        let (doubled, contradicted, all) = kill_again_and_again(kills, None);
        eprintln!("without it: {doubled} of {all} twice, {contradicted} contradicted");
    }
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn an_answer_is_given_again_and_articles_never_wait_for_the_disk() {
    let dir = directory();
    let world = TestEnvironment::with_rules(&[Behaviour::Serve], &section(&dir, ""));
    let mut client = world.client();
    let first = client.request(&comment("one")).unwrap();
    assert!(first.start().contains(" 200 "), "{first:?}");
    for _ in 0..3 {
        let again = client.request(&comment("one")).unwrap();
        assert_eq!((again.start(), &again.body), (first.start(), &first.body));
    }
    assert_eq!(world.seen(), 1);
    assert!(client.request(&common::get("a1", "1.0")).unwrap().start().contains(" 200 "));
    // A large answer is not kept: it is done, and no refusal, which would be leave to try again.
    let other = directory();
    let world = TestEnvironment::with_rules(&[Behaviour::Serve], &section(&other, "(answers 0)"));
    let mut client = world.client();
    assert!(client.request(&comment("two")).unwrap().start().contains(" 200 "));
    assert!(client.request(&comment("two")).unwrap().start().contains(" 409 "));
    assert_eq!(world.seen(), 1);
}

#[test]
fn at_the_bound_new_comments_are_refused_with_a_time_and_articles_served() {
    let dir = directory();
    let world =
        TestEnvironment::with_rules(&[Behaviour::Serve], &section(&dir, "(bytes 100000) (answers 65536)"));
    let mut client = world.client();
    let mut refused = None;
    for n in 0..3_000 {
        let answer = client.request(&comment(&format!("n{n}"))).unwrap();
        if answer.start().contains(" 503 ") {
            refused = Some(answer);
            break;
        }
    }
    let refused = refused.expect("the bound is met");
    assert!(refused.field("retry-after").is_some(), "{refused:?}");
    assert!(client.request(&common::get("b1", "1.0")).unwrap().start().contains(" 200 "));
    // What was done stays done: room is not made by forgetting it.
    let before = world.seen();
    assert!(client.request(&comment("n0")).unwrap().start().contains(" 200 "));
    assert_eq!(world.seen(), before);
}

#[test]
fn a_directory_is_one_fronts_and_a_bad_one_starts_nothing() {
    let dir = directory();
    let world = TestEnvironment::with_rules(&[Behaviour::Serve], &section(&dir, ""));
    let out = run_program(&["store", "verify", dir.to_str().unwrap()]);
    let told = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && told.contains("lock is held"), "{told}");
    drop(world);
    let out = run_program(&["store", "inspect", dir.to_str().unwrap()]);
    assert!(out.status.success(), "{out:?}");
    for (file_name, damage) in [("ledger", 200usize), ("mark", 8)] {
        let path = dir.join(file_name);
        let whole = std::fs::read(&path).unwrap();
        std::fs::write(&path, &whole[..damage]).unwrap();
        let operator = temp_file("damaged", &section(&dir, ""));
        for args in [
            &["serve", "--operator", operator.to_str().unwrap()][..],
            &["store", "verify", dir.to_str().unwrap()],
        ] {
            let out = run_program(args);
            let told = String::from_utf8_lossy(&out.stderr).into_owned();
            assert!(!out.status.success() && told.contains("store: "), "{file_name} {args:?}: {told}");
        }
        assert_eq!(std::fs::read(&path).unwrap().len(), damage, "a refused store is not written to");
        std::fs::write(&path, whole).unwrap();
    }
    let missing = temp_file("missing", &section(&dir.join("nowhere"), ""));
    let out = run_program(&["serve", "--operator", missing.to_str().unwrap()]);
    let told = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && told.contains("no such directory"), "{told}");
    let out = run_program(&["store", "compact", dir.to_str().unwrap()]);
    assert!(out.status.success(), "{out:?}");
}

#[test]
fn a_front_starts_from_the_list_that_it_kept() {
    let dir = directory();
    let mut world = TestEnvironment::with_rules(&[Behaviour::Serve, Behaviour::Serve], &section(&dir, ""));
    let mut client = world.client();
    assert!(client.request(&common::get("a", "1.0")).unwrap().start().contains(" 200 "));
    // The opening is commit 1, and nothing else is written here but what the front knows.
    common::wait_until("the list is written down", || {
        let mark = std::fs::read(dir.join("mark")).unwrap_or_default();
        let commit =
            |at: usize| mark.get(at..at + 8).map_or(0, |b| u64::from_le_bytes(b.try_into().unwrap()));
        commit(32).max(commit(512 + 32)) >= 2
    });
    world.kill();
    let out = run_program(&["store", "inspect", dir.to_str().unwrap()]);
    assert!(String::from_utf8_lossy(&out.stdout).contains("a list of 2 machines"), "{out:?}");
    // It comes back with no list in its configuration.
    world.forget_list();
    world.restart();
    assert!(world.client().request(&common::get("b", "1.0")).unwrap().start().contains(" 200 "));
}
