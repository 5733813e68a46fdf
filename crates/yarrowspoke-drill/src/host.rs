//! Hosts many fronts in one process: reads batches, passes their events to the fronts and writes replies.

use crate::wire::{Reader, Reply, WireError, BATCH_HEADER};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use yarrowspoke::interface::{Action, Arrival, AttemptEnd, Event, ListUpdate, MachineEntry, RolloutStatus};
use yarrowspoke::Front;

/// All instances of this process and the machine lists that their events refer to.
#[derive(Default)]
pub struct Host {
    fronts: BTreeMap<u32, Front>,
    lists: BTreeMap<u32, Vec<MachineEntry>>,
    current: Option<u32>,
    actions: Vec<Action>,
    reply: Reply,
}

/// Answers batches from `input` on `output` until the input ends.
pub fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), WireError> {
    let mut host = Host::default();
    let mut body = Vec::new();
    while let Some((batch, records, now)) = read_frame(input, &mut body)? {
        let frame = host.handle_batch(batch, records, now, &body)?;
        output.write_all(&frame)?;
        output.flush()?;
    }
    Ok(())
}

/// Reads one frame; `None` at a clean end of input.
fn read_frame(input: &mut impl Read, body: &mut Vec<u8>) -> Result<Option<(u32, u32, u64)>, WireError> {
    let mut header = [0u8; BATCH_HEADER];
    let mut received = 0;
    while received < BATCH_HEADER {
        match input.read(&mut header[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return Err(WireError::Truncated { batch: 0, what: "header" }),
            Ok(n) => received += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e.into()),
        }
    }
    let mut fields = Reader::new(&header);
    let (batch, records, length) = (fields.u32()?, fields.u32()?, fields.u32()?);
    let now = fields.u64()?;
    let size = (length as usize).checked_sub(BATCH_HEADER).ok_or(WireError::Length {
        batch,
        length,
        what: "shorter than its header",
    })?;
    body.clear();
    // `take` lets the buffer grow with the bytes that arrive, not with the stated length, which may be wrong.
    let received = input.take(size as u64).read_to_end(body)?;
    if received < size {
        return Err(WireError::Truncated { batch, what: "records" });
    }
    Ok(Some((batch, records, now)))
}

impl Host {
    fn handle_batch(
        &mut self,
        batch: u32,
        records: u32,
        now: u64,
        body: &[u8],
    ) -> Result<Vec<u8>, WireError> {
        self.current = None;
        self.reply.clear();
        let mut reader = Reader::new(body);
        for _ in 0..records {
            self.handle_record(now, &mut reader)?;
        }
        if !reader.is_at_end() {
            let length = u32::try_from(body.len() + BATCH_HEADER).unwrap_or(u32::MAX);
            return Err(WireError::Length { batch, length, what: "bytes left after the last record" });
        }
        Ok(self.reply.frame(batch))
    }

    fn handle_record(&mut self, now: u64, reader: &mut Reader) -> Result<(), WireError> {
        let at = reader.position();
        match reader.u8()? {
            22 => self.current = Some(reader.u32()?),
            18 => {
                let number = reader.u32()?;
                let entries = reader.entries()?;
                self.lists.insert(number, entries);
            }
            20 => self.start_instance(now, at, reader)?,
            26 => {
                let instance = self.current_instance(at)?;
                self.fronts.remove(&instance);
            }
            30 => self.list_update(now, at, reader)?,
            code => self.handle_event(code, now, at, reader)?,
        }
        Ok(())
    }

    fn current_instance(&self, at: usize) -> Result<u32, WireError> {
        self.current.ok_or_else(|| WireError::Misplaced { at, what: "event before any ON".to_owned() })
    }

    fn start_instance(&mut self, now: u64, at: usize, reader: &mut Reader) -> Result<(), WireError> {
        let instance = self.current_instance(at)?;
        let seed = reader.u64()?;
        let n = reader.u32()? as usize;
        let json = reader.bytes(n)?;
        let settings =
            yarrowspoke_settings::parse(json).map_err(|source| WireError::Settings { at, source })?.module;
        self.actions.clear();
        let actions = &mut self.actions;
        match catch_unwind(AssertUnwindSafe(|| Front::new(seed, settings, now, actions))) {
            Ok(front) => {
                self.fronts.insert(instance, front);
                self.flush(instance);
            }
            Err(_) => self.reply.push_failure(instance, "decision module panicked at start"),
        }
        Ok(())
    }

    fn list_update(&mut self, now: u64, at: usize, reader: &mut Reader) -> Result<(), WireError> {
        let number = reader.u32()?;
        let kind = reader.list_update()?;
        let version = reader.u64()?;
        if kind == ListUpdate::Failed {
            return self.dispatch(now, at, Event::List { kind, version, as_of: now, entries: &[] });
        }
        let entries = self
            .lists
            .remove(&number)
            .ok_or_else(|| WireError::Misplaced { at, what: format!("list {number} was never sent") })?;
        let event = Event::List { kind, version, as_of: now, entries: &entries };
        let done = self.dispatch(now, at, event);
        self.lists.insert(number, entries);
        done
    }

    fn handle_event(&mut self, code: u8, now: u64, at: usize, reader: &mut Reader) -> Result<(), WireError> {
        let load_report;
        let event = match code {
            28 => {
                let (id, class, remaining) = (reader.u64()?, reader.u8()?, reader.u32()?.into());
                let (key, tenant, work_hint, flags) =
                    (reader.u64()?, reader.u32()?, reader.u32()?, reader.u8()?);
                Event::Request(Arrival {
                    id,
                    class,
                    remaining,
                    key,
                    tenant,
                    work_hint: (flags & 1 != 0).then_some(work_hint.into()),
                    is_retry: flags & 2 != 0,
                    policy: Default::default(),
                })
            }
            27 => {
                let (id, attempt) = (reader.u64()?, reader.u16()?);
                let _ = (reader.u32()?, reader.u32()?);
                Event::FirstByte { id, attempt }
            }
            19 => Event::Timer { name: reader.u64()? },
            29 => {
                let (id, request_done, outcome) = (reader.u64()?, reader.u8()? != 0, reader.outcome()?);
                let (machine, duration, attempt) = (reader.u32()?, reader.u32()?.into(), reader.u16()?);
                load_report = reader.load_report()?;
                Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt,
                    machine,
                    outcome,
                    request_done,
                    duration,
                    load_report: &load_report,
                })
            }
            21 => {
                let (machine, outcome, duration) = (reader.u32()?, reader.outcome()?, reader.u32()?.into());
                load_report = reader.load_report()?;
                Event::ProbeEnded { machine, outcome, duration, load_report: &load_report }
            }
            23 => Event::Complaint { machine: reader.u32()?, class: reader.u8()?, age: reader.u32()?.into() },
            16 => {
                let from = reader.u32()?;
                let n = reader.u16()?.into();
                Event::PeerMessage { from, bytes: reader.bytes(n)? }
            }
            24 => Event::RolloutStatus(RolloutStatus {
                build: reader.u16()?,
                stage: reader.u8()?,
                phase: reader.phase()?,
                is_vote_reply: reader.u8()? != 0,
                outcome: reader.outcome()?,
                cap: reader.f32()?.into(),
                age: reader.u32()?.into(),
            }),
            25 => Event::PlatformTally {
                build: reader.u16()?,
                class: reader.u8()?,
                count: reader.u32()?,
                failed: reader.u32()?,
                mean_time: reader.u32()?.into(),
                age: reader.u32()?.into(),
            },
            17 => Event::ClientLeft { id: reader.u64()? },
            value => return Err(WireError::Unknown { at, what: "event code", value: value.into() }),
        };
        self.dispatch(now, at, event)
    }

    /// Passes an event to its front. A panic inside the module is reported as a record of its own, which ends the run.
    fn dispatch(&mut self, now: u64, at: usize, event: Event) -> Result<(), WireError> {
        let instance = self.current_instance(at)?;
        let Some(front) = self.fronts.get_mut(&instance) else {
            return Err(WireError::Misplaced {
                at,
                what: format!("event for instance {instance}, which is not running"),
            });
        };
        self.actions.clear();
        let actions = &mut self.actions;
        match catch_unwind(AssertUnwindSafe(|| front.handle(now, &event, actions))) {
            Ok(()) => self.flush(instance),
            Err(_) => self.reply.push_failure(instance, "decision module panicked"),
        }
        Ok(())
    }

    fn flush(&mut self, instance: u32) {
        for action in &self.actions {
            self.reply.push(instance, action);
        }
    }
}
