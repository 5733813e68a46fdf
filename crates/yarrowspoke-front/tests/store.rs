//! The store of the running program: killed at any moment, it runs no request twice and contradicts no answer.

mod common;

use common::{run_program, temp_file, TestEnvironment};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use yarrowspoke_toy::Behaviour;

static NEXT_DIRECTORY: AtomicUsize = AtomicUsize::new(0);

fn directory() -> PathBuf {
    let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("yarrowspoke-store-{}-{number}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

fn section(dir: &std::path::Path, fields: &str) -> String {
    format!("(store (directory \"{}\") {fields})", dir.display())
}

fn comment(id: &str) -> String {
    format!("POST /comment HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Caller: acme\r\nX-Budget: 4.0\r\nContent-Length: 2\r\n\r\nhi")
}

/// Returns how often the machines ran each comment.
fn runs(environment: &TestEnvironment) -> BTreeMap<String, usize> {
    let mut out = BTreeMap::new();
    for message in environment.machines.iter().flat_map(|m| m.seen()) {
        if message.start().starts_with("POST") {
            *out.entry(message.field("x-call-id").unwrap_or("").to_owned()).or_default() += 1;
        }
    }
    out
}

/// Kills a front `kills` times under load. After each restart the clients send again the requests that had no answer, and
/// some of those that had one. Returns how many comments ran twice, how many answers were contradicted, and the number of
/// comments.
fn kill_repeatedly(kills: usize, operator: Option<&str>) -> (usize, usize, usize) {
    let behaviours = [Behaviour::ServeLate(3), Behaviour::Serve, Behaviour::ServeLate(1), Behaviour::Break];
    let mut environment = match operator {
        Some(text) => TestEnvironment::with_rules(&behaviours, text),
        None => TestEnvironment::start(&behaviours),
    };
    let answers: Arc<Mutex<BTreeMap<String, Vec<String>>>> = Arc::default();
    for round in 0..kills {
        let stop = Arc::new(AtomicBool::new(false));
        let listen = environment.listen;
        let clients: Vec<_> = (0..4)
            .map(|client| {
                let (stop, answers) = (Arc::clone(&stop), Arc::clone(&answers));
                std::thread::spawn(move || {
                    for n in 0..2_000 {
                        if stop.load(Ordering::Relaxed) {
                            return;
                        }
                        let id = format!("c{round}-{client}-{n}");
                        answers.lock().unwrap().entry(id.clone()).or_default();
                        let Some(mut connection) = common::connect(listen) else { return };
                        let Some(answer) = connection.request(&comment(&id)) else { return };
                        answers.lock().unwrap().entry(id).or_default().push(answer.start().to_owned());
                    }
                })
            })
            .collect();
        // The time of the kill depends on the round. Which requests it interrupts differs between runs; the expected result does
        // not.
        std::thread::sleep(Duration::from_millis(10 + (round as u64 * 37) % 60));
        environment.kill();
        stop.store(true, Ordering::Relaxed);
        clients.into_iter().for_each(|c| c.join().unwrap());
        environment.restart();
        let answer_counts: Vec<(String, usize)> =
            answers.lock().unwrap().iter().map(|a| (a.0.clone(), a.1.len())).collect();
        let prefix = format!("c{round}-");
        for (n, (id, answered)) in answer_counts.into_iter().filter(|a| a.0.starts_with(&prefix)).enumerate()
        {
            if answered == 0 || n % 7 == 0 {
                let answer = environment.client().request(&comment(&id)).unwrap();
                answers.lock().unwrap().entry(id).or_default().push(answer.start().to_owned());
            }
        }
    }
    let runs = runs(&environment);
    let doubled = runs.values().filter(|n| **n > 1).count();
    let answers = answers.lock().unwrap();
    let kind = |a: &String| if a.contains(" 200 ") { 0 } else { 1 };
    let contradicted = answers.values().filter(|a| a.iter().any(|x| kind(x) != kind(&a[0]))).count();
    (doubled, contradicted, answers.len())
}

#[test]
fn after_repeated_kills_no_comment_has_run_twice_and_no_answer_is_contradicted() {
    let dir = directory();
    let kills = std::env::var("YARROWSPOKE_KILLS").ok().and_then(|n| n.parse().ok()).unwrap_or(12);
    let (doubled, contradicted, all) = kill_repeatedly(kills, Some(&section(&dir, "(delay 0)")));
    assert_eq!((doubled, contradicted), (0, 0), "of {all} comments");
    assert!(all >= kills, "{all} comments in {kills} rounds");
    eprintln!("with the store: {doubled} of {all} comments twice after {kills} kills");
    let out = run_program(&["store", "verify", dir.to_str().unwrap()]);
    assert!(out.status.success(), "{out:?}");
    if std::env::var("YARROWSPOKE_KILLS").is_ok() {
        let (doubled, contradicted, all) = kill_repeatedly(kills, None);
        eprintln!("without it: {doubled} of {all} twice, {contradicted} contradicted");
    }
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn a_stored_answer_is_repeated_and_articles_never_wait_for_the_disk() {
    let dir = directory();
    let environment = TestEnvironment::with_rules(&[Behaviour::Serve], &section(&dir, ""));
    let mut client = environment.client();
    let first = client.request(&comment("one")).unwrap();
    assert!(first.start().contains(" 200 "), "{first:?}");
    for _ in 0..3 {
        let again = client.request(&comment("one")).unwrap();
        assert_eq!((again.start(), &again.body), (first.start(), &first.body));
    }
    assert_eq!(environment.seen(), 1);
    assert!(client.request(&common::get("a1", "1.0")).unwrap().start().contains(" 200 "));
    // An answer over the size limit is not stored. A retry then gets 409: a refusal would permit another retry.
    let other = directory();
    let environment = TestEnvironment::with_rules(&[Behaviour::Serve], &section(&other, "(answers 0)"));
    let mut client = environment.client();
    assert!(client.request(&comment("two")).unwrap().start().contains(" 200 "));
    assert!(client.request(&comment("two")).unwrap().start().contains(" 409 "));
    assert_eq!(environment.seen(), 1);
}

#[test]
fn a_full_store_refuses_new_comments_with_retry_after_and_serves_articles() {
    let dir = directory();
    let environment =
        TestEnvironment::with_rules(&[Behaviour::Serve], &section(&dir, "(bytes 100000) (answers 65536)"));
    let mut client = environment.client();
    let mut refused = None;
    for n in 0..3_000 {
        let answer = client.request(&comment(&format!("n{n}"))).unwrap();
        if answer.start().contains(" 503 ") {
            refused = Some(answer);
            break;
        }
    }
    let refused = refused.expect("the store becomes full");
    assert!(refused.field("retry-after").is_some(), "{refused:?}");
    assert!(client.request(&common::get("b1", "1.0")).unwrap().start().contains(" 200 "));
    // Finished requests stay recorded: a full store does not forget them to gain space.
    let before = environment.seen();
    assert!(client.request(&comment("n0")).unwrap().start().contains(" 200 "));
    assert_eq!(environment.seen(), before);
}

#[test]
fn a_directory_belongs_to_one_front_and_nothing_starts_on_a_damaged_one() {
    let dir = directory();
    let environment = TestEnvironment::with_rules(&[Behaviour::Serve], &section(&dir, ""));
    let out = run_program(&["store", "verify", dir.to_str().unwrap()]);
    let error = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && error.contains("lock is held"), "{error}");
    drop(environment);
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
            let error = String::from_utf8_lossy(&out.stderr).into_owned();
            assert!(!out.status.success() && error.contains("store: "), "{file_name} {args:?}: {error}");
        }
        assert_eq!(std::fs::read(&path).unwrap().len(), damage, "a refused store is not written to");
        std::fs::write(&path, whole).unwrap();
    }
    let missing = temp_file("missing", &section(&dir.join("nowhere"), ""));
    let out = run_program(&["serve", "--operator", missing.to_str().unwrap()]);
    let error = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && error.contains("no such directory"), "{error}");
    let out = run_program(&["store", "compact", dir.to_str().unwrap()]);
    assert!(out.status.success(), "{out:?}");
}

#[test]
fn a_front_starts_from_its_stored_list() {
    let dir = directory();
    let mut environment =
        TestEnvironment::with_rules(&[Behaviour::Serve, Behaviour::Serve], &section(&dir, ""));
    let mut client = environment.client();
    assert!(client.request(&common::get("a", "1.0")).unwrap().start().contains(" 200 "));
    // Opening the store is commit 1; after that only the snapshot of the front's state is written here.
    common::wait_until("the list is written down", || {
        let mark = std::fs::read(dir.join("mark")).unwrap_or_default();
        let commit =
            |at: usize| mark.get(at..at + 8).map_or(0, |b| u64::from_le_bytes(b.try_into().unwrap()));
        commit(32).max(commit(512 + 32)) >= 2
    });
    environment.kill();
    let out = run_program(&["store", "inspect", dir.to_str().unwrap()]);
    assert!(String::from_utf8_lossy(&out.stdout).contains("a list of 2 machines"), "{out:?}");
    // The front restarts without a list in its configuration.
    environment.forget_list();
    environment.restart();
    assert!(environment.client().request(&common::get("b", "1.0")).unwrap().start().contains(" 200 "));
}
