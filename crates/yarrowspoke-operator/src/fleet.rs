//! The section `fleet`: the members, and limits on leases, stragglers and how many fronts may be out of service.

use crate::read::Form;
use crate::Fault;
use yarrowspoke_fleet::settings::{Alone, Fleet, Limit, Lists, Member, Paced, Role, Spans};

/// The section, and warnings about valid settings that are probably not intended.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSection {
    /// Settings of the section.
    pub fleet: Fleet,
    /// Line, column and text of each warning.
    pub warnings: Vec<(usize, usize, String)>,
}

const FIELDS: &str =
    "one of the fields: member, renew, lease, drift, behind, shut-after, back-after, list-within, \
    most-out, most-out-by-zone, alone, keep, keep-bytes, outbox, paced, beyond-loopback";

/// Parses the section.
pub fn fleet(section: &Form, faults: &mut Vec<Fault>) -> Option<FleetSection> {
    let before = faults.len();
    let (mut fleet, mut warnings, mut planners) = (Fleet::default(), Vec::new(), Vec::new());
    let fields = section.fields(faults);
    let beyond_loopback = fields.iter().any(|f| f.name == "beyond-loopback");
    for (n, field) in fields.iter().enumerate() {
        if field.name != "member" && fields[..n].iter().any(|f| f.name == field.name) {
            faults.push(field.fault("each field but member once"));
            continue;
        }
        let mut seconds = |min: f64, max: f64| {
            let expected = format!("seconds, {min} to {max}");
            field.number(&expected, faults, |s| (min..=max).contains(&s)).map(|s| (s * 1e6) as u64)
        };
        match field.name.as_str() {
            "renew" => fleet.renew = seconds(0.02, 0.25).unwrap_or(fleet.renew),
            "lease" => fleet.lease = seconds(0.1, 600.0).unwrap_or(fleet.lease),
            "behind" => fleet.behind = seconds(0.05, 600.0).unwrap_or(fleet.behind),
            "shut-after" => fleet.shut_after = seconds(0.1, 86_400.0).unwrap_or(fleet.shut_after),
            "back-after" => fleet.back_after = seconds(0.0, 3_600.0).unwrap_or(fleet.back_after),
            "list-within" => fleet.list_within = seconds(0.1, 86_400.0).unwrap_or(fleet.list_within),
            "keep" => fleet.keep = seconds(1.0, 31_536_000.0).unwrap_or(fleet.keep),
            "drift" => {
                let drift = field.number("a share, 0 to 0.2", faults, |d| (0.0..=0.2).contains(&d));
                fleet.drift = drift.unwrap_or(fleet.drift);
            }
            "most-out" => fleet.most_out = limit(field, faults).unwrap_or(fleet.most_out),
            "most-out-by-zone" => fleet.most_out_zone = limit(field, faults).unwrap_or(fleet.most_out_zone),
            "alone" => match field.name("serve or narrow", faults).as_deref() {
                Some("serve") => fleet.alone = Alone::Serve,
                Some("narrow") => fleet.alone = Alone::Narrow,
                Some(_) => faults.push(field.fault_of_value("serve or narrow")),
                None => {}
            },
            "keep-bytes" => {
                let expected = "bytes, 100000 to 1000000000000";
                let bytes = field.integer(expected, faults, |n| (100_000..=1_000_000_000_000).contains(&n));
                fleet.keep_bytes = bytes.unwrap_or(fleet.keep_bytes);
            }
            "outbox" => {
                let spans = field.integer("spans, 16 to 100000", faults, |n| (16..=100_000).contains(&n));
                fleet.outbox = spans.map_or(fleet.outbox, |n| n as usize);
            }
            "paced" => fleet.paced = paced(field, faults),
            "beyond-loopback" => {
                if field.name("meant", faults).is_some_and(|w| w != "meant") {
                    faults.push(field.fault_of_value("meant"));
                }
            }
            "member" => {
                let Some(member) = member(field, beyond_loopback, faults) else { continue };
                if fleet.member(&member.name).is_some() {
                    faults
                        .push(field.fault(&format!("each name once, and {} is there already", member.name)));
                    continue;
                }
                if member.role == Role::Planner {
                    planners.push(field.position());
                }
                fleet.members.push(member);
            }
            _ => faults.push(field.fault(FIELDS)),
        }
    }
    // A member that could not be parsed must not be reported as missing as well.
    match planners.len() {
        _ if faults.len() > before => {}
        0 => faults.push(section.fault("at least one planner among its members; three or five bear a loss")),
        2 => faults.push(section.fault(
            "one planner, or three or more: of two both are a majority, and the loss of either is one too many",
        )),
        n if n % 2 == 0 => {
            let (line, column) = planners[n - 1];
            let text = format!("{n} planners bear no more losses than {}", n - 1);
            warnings.push((line, column, text));
        }
        _ => {}
    }
    if faults.len() == before && fleet.fronts().next().is_none() {
        faults.push(section.fault("at least one front among its members"));
    }
    let min_lease = 2.0 * fleet.renew as f64 * (1.0 + fleet.drift);
    if (fleet.lease as f64) < min_lease {
        let expected =
            format!("a lease of twice the renewal and its drift at least, {:.3} s", min_lease / 1e6);
        let at = fields.iter().find(|f| f.name == "lease").unwrap_or(section);
        faults.push(at.fault(&expected));
    }
    if let Some(paced) = fleet.paced.filter(|_| faults.len() == before) {
        let at = fields.iter().find(|f| f.name == "paced").unwrap_or(section);
        let max_pace = fleet.renew * planners.len() as u64;
        if paced.pace < fleet.renew || paced.pace > max_pace {
            faults.push(at.fault(&format!(
                "a pace from renew to renew for each planner, {:.3} to {:.3} s: in every renewal one of them is to hear a front",
                fleet.renew as f64 / 1e6,
                max_pace as f64 / 1e6
            )));
        }
        let min_lease = 3.0 * paced.pace as f64 * (1.0 + fleet.drift);
        if (fleet.lease as f64) < min_lease {
            let at = fields.iter().find(|f| f.name == "lease").unwrap_or(at);
            faults.push(at.fault(&format!(
                "a lease of three paces and their drift at least, {:.3} s",
                min_lease / 1e6
            )));
        }
    }
    if fleet.shut_after <= fleet.behind {
        let at = fields.iter().find(|f| f.name == "shut-after").unwrap_or(section);
        faults.push(at.fault("a time above behind's: a straggler is noted before it is shut out"));
    }
    (faults.len() == before).then_some(FleetSection { fleet, warnings })
}

fn paced(form: &Form, faults: &mut Vec<Fault>) -> Option<Paced> {
    let (mut pace, mut lists, mut spans) = (None, Lists::Delta, Spans::Home);
    let fields = form.fields(faults);
    for (n, field) in fields.iter().enumerate() {
        if fields[..n].iter().any(|f| f.name == field.name) {
            faults.push(field.fault("each field of paced once"));
            continue;
        }
        match field.name.as_str() {
            "pace" => {
                let seconds = field.number("seconds, 0.02 to 60", faults, |s| (0.02..=60.0).contains(&s));
                pace = Some((seconds? * 1e6) as u64);
            }
            "lists" => match field.name("delta or whole", faults).as_deref() {
                Some("delta") => lists = Lists::Delta,
                Some("whole") => lists = Lists::Whole,
                Some(_) => faults.push(field.fault_of_value("delta or whole")),
                None => {}
            },
            "spans" => match field.name("home or all", faults).as_deref() {
                Some("home") => spans = Spans::Home,
                Some("all") => spans = Spans::All,
                Some(_) => faults.push(field.fault_of_value("home or all")),
                None => {}
            },
            _ => faults.push(field.fault("one of the fields: pace, lists, spans")),
        }
    }
    if pace.is_none() {
        faults.push(form.fault("the field pace in it"));
    }
    pace.map(|pace| Paced { pace, lists, spans })
}

fn limit(field: &Form, faults: &mut Vec<Fault>) -> Option<Limit> {
    let expected = "a whole number, or a share from 0.0 to 1.0 with its decimal point";
    field.convert_value(expected, faults, |v| match v.as_u64() {
        Some(n) => Some(Limit::Number(n as usize)),
        None => v.as_f64().filter(|s| (0.0..=1.0).contains(s)).map(Limit::Share),
    })
}

fn member(form: &Form, beyond_loopback: bool, faults: &mut Vec<Fault>) -> Option<Member> {
    let before = faults.len();
    let (mut name, mut role, mut zone, mut address) = (None, None, None, None);
    for field in form.fields(faults) {
        match field.name.as_str() {
            "name" => name = field.name("a name", faults),
            "zone" => zone = field.name("a zone's name", faults),
            "role" => match field.name("front or planner", faults).as_deref() {
                Some("front") => role = Some(Role::Front),
                Some("planner") => role = Some(Role::Planner),
                Some(_) => faults.push(field.fault_of_value("front or planner")),
                None => {}
            },
            "address" => {
                let expected = "a string of address and port, as \"127.0.0.1:7100\"";
                let Some(text) = field.string(expected, faults) else { continue };
                match text.parse::<std::net::SocketAddr>() {
                    Ok(a) if a.ip().is_loopback() || beyond_loopback => address = Some(a),
                    Ok(_) => faults.push(field.fault_of_value(
                        "a loopback address, or (beyond-loopback meant) in the section: whoever reaches the links can \
                         shut fronts out",
                    )),
                    Err(_) => faults.push(field.fault_of_value(expected)),
                }
            }
            _ => faults.push(field.fault("one of the fields: name, role, zone, address")),
        }
    }
    if faults.len() > before {
        return None;
    }
    let (Some(name), Some(role)) = (name, role) else {
        faults.push(form.fault("the fields name and role in it"));
        return None;
    };
    match role {
        Role::Front if zone.is_none() => faults.push(form.fault("the field zone in a front")),
        Role::Planner if address.is_none() => faults.push(form.fault("the field address in a planner")),
        _ => {}
    }
    (faults.len() == before).then(|| Member { name, role, zone: zone.unwrap_or_default(), address })
}
