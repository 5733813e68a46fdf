//! What clients ask, from a request's head and body to a call.

use super::http::{Framing, FromHead, HttpError, RawHead};
use crate::classify::{Classifier, LoadedRules};
use crate::exchange::Call;
use crate::input::ClassProtocol;
use std::rc::Rc;
use yarrowspoke::interface::{Micros, RequestPolicy};
use yarrowspoke_settings::Names;

/// Longest budget believed.
const LONGEST_BUDGET: f64 = 3_600.0;

/// What a client sent, decoded.
pub enum ClientRequest {
    /// Whether the front is ready.
    ReadinessCheck,
    /// A call; its body is still to come.
    Call(Box<Call>),
    /// Something that has no answer here, with its status.
    Invalid(u16),
}

/// A request's head, decoded.
pub struct RequestHead {
    method: String,
    target: String,
    /// The sender keeps the connection.
    pub keep: bool,
    /// It waits for leave to send its body.
    pub continues: bool,
    call_id: Option<String>,
    idempotency_key: Option<String>,
    class: Option<String>,
    tenant: Option<String>,
    budget: Option<Micros>,
    hint: Option<Micros>,
    repeat: bool,
    /// The rules under which it came, and the headers that they read.
    rules: Option<(Rc<LoadedRules>, Vec<Option<String>>)>,
}

impl FromHead for RequestHead {
    type Context = Rc<Classifier>;
    const STRICT: bool = true;

    fn default_framing(&self) -> Option<Framing> {
        Some(Framing::Length(0))
    }

    fn from_head(head: &RawHead, classifier: &Rc<Classifier>) -> Result<Self, HttpError> {
        let [method, target, version] = head.start_line;
        let known = matches!(version, "HTTP/1.1" | "HTTP/1.0");
        let plain = |b: u8| b.is_ascii_graphic();
        if !known || method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
            return Err(HttpError::StartLine);
        }
        if !target.starts_with('/') || !target.bytes().all(plain) {
            return Err(HttpError::StartLine);
        }
        let call_id = head.unique_field("x-call-id")?;
        if call_id.is_some_and(|id| id.is_empty() || id.len() > 128 || !id.bytes().all(plain)) {
            return Err(HttpError::InvalidValue("X-Call-Id"));
        }
        let budget = head.unique_field("x-budget")?.map(budget).transpose()?;
        let owned = |name| head.field(name).map(str::to_owned);
        let rules = match classifier.loaded() {
            Some(rules) => {
                let read = |name: &String| head.unique_field_at_runtime(name).map(|v| v.map(str::to_owned));
                let headers = rules.set.headers().iter().map(read).collect::<Result<_, _>>()?;
                Some((rules, headers))
            }
            None => None,
        };
        Ok(Self {
            method: method.to_owned(),
            target: target.to_owned(),
            keep: head.keeps_alive(version),
            continues: head.field("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue")),
            call_id: call_id.map(str::to_owned),
            idempotency_key: head.unique_field("idempotency-key")?.map(str::to_owned),
            class: head.unique_field("x-call-class")?.map(str::to_owned),
            tenant: owned("x-caller"),
            budget,
            hint: head.field("x-call-cost").and_then(|v| v.parse().ok()),
            repeat: head.field("x-again") == Some("1"),
            rules,
        })
    }
}

fn budget(text: &str) -> Result<Micros, HttpError> {
    let seconds = text.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0);
    let seconds = seconds.ok_or(HttpError::InvalidValue("X-Budget"))?;
    Ok((seconds.min(LONGEST_BUDGET) * 1e6) as Micros)
}

impl RequestHead {
    /// The rules under which it came, with the headers that they read: whoever takes them rules it himself.
    pub fn take_rules(&mut self) -> Option<(Rc<LoadedRules>, Vec<Option<String>>)> {
        self.rules.take()
    }

    /// Danger: what a machine can't use costs it work, and may run as something else than was meant. So a call
    /// whose parts contradict each other goes to none.
    pub fn into_request(
        mut self,
        body: Vec<u8>,
        names: &Names,
        classes: &[ClassProtocol],
        classifier: &Classifier,
        now: Micros,
    ) -> ClientRequest {
        let rules = self.take_rules();
        let (path, query) = self.target.split_once('?').unwrap_or((&self.target, ""));
        if path == "/up" {
            return if self.method == "GET" {
                ClientRequest::ReadinessCheck
            } else {
                ClientRequest::Invalid(405)
            };
        }
        let first = path[1..].split('/').next().unwrap_or("");
        let Some(class) = names.classes.iter().position(|c| c == first) else {
            return ClientRequest::Invalid(404);
        };
        let facts = &classes[class];
        if self.class.is_some_and(|c| c != first) {
            return ClientRequest::Invalid(400);
        }
        if facts.method.is_some_and(|m| m != self.method) {
            return ClientRequest::Invalid(405);
        }
        if self.method == "GET" && !body.is_empty() {
            return ClientRequest::Invalid(400);
        }
        let Some(call_id) = self.call_id else { return ClientRequest::Invalid(400) };
        let tenant = self.tenant.and_then(|t| names.tenants.iter().position(|n| *n == t));
        let key = query.split('&').find_map(|p| p.strip_prefix("key=")).map_or(0, key);
        let mut call = Call {
            class: class as u8,
            tenant: tenant.map_or(u32::MAX, |t| t as u32),
            budget: self.budget.unwrap_or(facts.deadline),
            key,
            work_hint: self.hint,
            is_retry: self.repeat,
            policy: RequestPolicy::default(),
            call_id,
            idempotency_key: self.idempotency_key,
            body,
            method: self.method,
            target: self.target,
        };
        if let Some((rules, headers)) = rules {
            if let Err(status) = classifier.apply_rules(&rules, &mut call, &headers, names, now) {
                return ClientRequest::Invalid(status);
            }
        }
        ClientRequest::Call(Box::new(call))
    }
}

/// A subject as the module counts it: a number as it stands, any other word by its hash; 0 = none.
fn key(text: &str) -> u64 {
    let hashed = || {
        text.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
    };
    if text.is_empty() {
        0
    } else {
        text.parse().unwrap_or_else(|_| hashed().max(1))
    }
}
