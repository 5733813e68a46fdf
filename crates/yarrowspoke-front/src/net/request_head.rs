//! Decoding of client requests, from a request's head and body to a call.

use super::http::{Framing, FromHead, HttpError, RawHead};
use crate::classify::{Classifier, LoadedRules};
use crate::exchange::Call;
use crate::input::ClassProtocol;
use std::rc::Rc;
use yarrowspoke::interface::{Micros, RequestPolicy};
use yarrowspoke_settings::Names;

/// Upper limit of a stated time budget, in seconds; a longer one is cut to it.
const MAX_BUDGET_S: f64 = 3_600.0;

/// A decoded client request.
pub enum ClientRequest {
    /// A check of whether the front is ready.
    ReadinessCheck,
    /// A call to be forwarded.
    Call(Box<Call>),
    /// A request that cannot be served, with the status of its answer.
    Invalid(u16),
}

/// A request's head, decoded.
pub struct RequestHead {
    method: String,
    target: String,
    /// Whether the client keeps the connection open after this request.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    call_id: Option<String>,
    idempotency_key: Option<String>,
    class: Option<String>,
    tenant: Option<String>,
    budget: Option<Micros>,
    work_hint: Option<Micros>,
    is_retry: bool,
    /// The rules that were in force when the head was read, with the values of the headers that they use.
    rules: Option<(Rc<LoadedRules>, Vec<Option<String>>)>,
}

impl FromHead for RequestHead {
    type Context = Rc<Classifier>;
    const STRICT: bool = true;
    const RESERVES_BODY: bool = false;

    fn default_framing(&self) -> Option<Framing> {
        Some(Framing::Length(0))
    }

    fn from_head(head: &RawHead, classifier: &Rc<Classifier>) -> Result<Self, HttpError> {
        let [method, target, version] = head.start_line;
        let is_known_version = matches!(version, "HTTP/1.1" | "HTTP/1.0");
        let is_graphic = |b: u8| b.is_ascii_graphic();
        if !is_known_version || method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
            return Err(HttpError::StartLine);
        }
        if !target.starts_with('/') || !target.bytes().all(is_graphic) {
            return Err(HttpError::StartLine);
        }
        let call_id = head.unique_field("x-call-id")?;
        if call_id.is_some_and(|id| id.is_empty() || id.len() > 128 || !id.bytes().all(is_graphic)) {
            return Err(HttpError::InvalidValue("X-Call-Id"));
        }
        let budget = head.unique_field("x-budget")?.map(parse_budget).transpose()?;
        let owned_field = |name| head.field(name).map(str::to_owned);
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
            keep_alive: head.keeps_alive(version),
            expects_continue: head.field("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue")),
            call_id: call_id.map(str::to_owned),
            idempotency_key: head.unique_field("idempotency-key")?.map(str::to_owned),
            class: head.unique_field("x-call-class")?.map(str::to_owned),
            tenant: owned_field("x-caller"),
            budget,
            work_hint: head.field("x-call-cost").and_then(|v| v.parse().ok()),
            is_retry: head.field("x-again") == Some("1"),
            rules,
        })
    }
}

fn parse_budget(text: &str) -> Result<Micros, HttpError> {
    let seconds = text.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0);
    let seconds = seconds.ok_or(HttpError::InvalidValue("X-Budget"))?;
    Ok((seconds.min(MAX_BUDGET_S) * 1e6) as Micros)
}

impl RequestHead {
    /// Takes the rules and the header values that they use; the caller is then responsible for applying the rules.
    pub fn take_rules(&mut self) -> Option<(Rc<LoadedRules>, Vec<Option<String>>)> {
        self.rules.take()
    }

    /// Combines the head and the body into a request. A call whose parts contradict each other is not forwarded: it would cost
    /// a machine work, and might run as something else than the client meant.
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
        let class_name = path[1..].split('/').next().unwrap_or("");
        let Some(class) = names.classes.iter().position(|c| c == class_name) else {
            return ClientRequest::Invalid(404);
        };
        let protocol = &classes[class];
        if self.class.is_some_and(|c| c != class_name) {
            return ClientRequest::Invalid(400);
        }
        if protocol.method.is_some_and(|m| m != self.method) {
            return ClientRequest::Invalid(405);
        }
        if self.method == "GET" && !body.is_empty() {
            return ClientRequest::Invalid(400);
        }
        let Some(call_id) = self.call_id else { return ClientRequest::Invalid(400) };
        let tenant = self.tenant.and_then(|t| names.tenants.iter().position(|n| *n == t));
        let key = query.split('&').find_map(|p| p.strip_prefix("key=")).map_or(0, hash_key);
        let mut call = Call {
            class: class as u8,
            tenant: tenant.map_or(u32::MAX, |t| t as u32),
            budget: self.budget.unwrap_or(protocol.deadline),
            key,
            work_hint: self.work_hint,
            is_retry: self.is_retry,
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

/// Returns the key as the decision module uses it: a number as is, any other text as its FNV-1a hash, 0 for none.
fn hash_key(text: &str) -> u64 {
    let fnv1a = || {
        text.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
    };
    if text.is_empty() {
        0
    } else {
        text.parse().unwrap_or_else(|_| fnv1a().max(1))
    }
}
