//! Hosts many fronts in one process: reads batches, passes events on, writes replies.

use crate::wire::{Reader, Reply, WireError, BATCH_HEADER};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use yarrowspoke::interface::{Action, Arrival, AttemptEnd, Event, ListUpdate, MachineEntry, RolloutStatus};
use yarrowspoke::Front;

/// All instances of this process, and the lists that their events refer to.
#[derive(Default)]
pub struct Host {
    fronts: BTreeMap<u32, Front>,
    pages: BTreeMap<u32, Vec<MachineEntry>>,
    current: Option<u32>,
    actions: Vec<Action>,
    reply: Reply,
}

/// Answers batches from `input` on `output` until the input ends.
pub fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), WireError> {
    let mut host = Host::default();
    let mut body = Vec::new();
    while let Some((batch, records, now)) = read_frame(input, &mut body)? {
        let frame = host.batch(batch, records, now, &body)?;
        output.write_all(&frame)?;
        output.flush()?;
    }
    Ok(())
}

/// Reads one frame; `None` at a clean end of input.
fn read_frame(input: &mut impl Read, body: &mut Vec<u8>) -> Result<Option<(u32, u32, u64)>, WireError> {
    let mut header = [0u8; BATCH_HEADER];
    let mut got = 0;
    while got < BATCH_HEADER {
        match input.read(&mut header[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(WireError::Truncated { batch: 0, what: "header" }),
            Ok(n) => got += n,
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
    // `take` grows the buffer with what really comes, whatever length was claimed.
    let read = input.take(size as u64).read_to_end(body)?;
    if read < size {
        return Err(WireError::Truncated { batch, what: "records" });
    }
    Ok(Some((batch, records, now)))
}

impl Host {
    fn batch(&mut self, batch: u32, records: u32, now: u64, body: &[u8]) -> Result<Vec<u8>, WireError> {
        self.current = None;
        self.reply.clear();
        let mut reader = Reader::new(body);
        for _ in 0..records {
            self.record(now, &mut reader)?;
        }
        if !reader.done() {
            let length = u32::try_from(body.len() + BATCH_HEADER).unwrap_or(u32::MAX);
            return Err(WireError::Length { batch, length, what: "bytes left after the last record" });
        }
        Ok(self.reply.frame(batch))
    }

    fn record(&mut self, now: u64, r: &mut Reader) -> Result<(), WireError> {
        let at = r.at();
        match r.u8()? {
            22 => self.current = Some(r.u32()?),
            18 => {
                let number = r.u32()?;
                let entries = r.entries()?;
                self.pages.insert(number, entries);
            }
            20 => self.enlist(now, at, r)?,
            26 => {
                let instance = self.instance(at)?;
                self.fronts.remove(&instance);
            }
            30 => self.topology(now, at, r)?,
            code => self.simple(code, now, at, r)?,
        }
        Ok(())
    }

    fn instance(&self, at: usize) -> Result<u32, WireError> {
        self.current.ok_or_else(|| WireError::Misplaced { at, what: "event before any ON".to_owned() })
    }

    fn enlist(&mut self, now: u64, at: usize, r: &mut Reader) -> Result<(), WireError> {
        let instance = self.instance(at)?;
        let seed = r.u64()?;
        let n = r.u32()? as usize;
        let json = r.bytes(n)?;
        let settings =
            yarrowspoke_settings::parse(json).map_err(|source| WireError::Settings { at, source })?.module;
        self.actions.clear();
        let actions = &mut self.actions;
        match catch_unwind(AssertUnwindSafe(|| Front::new(seed, settings, now, actions))) {
            Ok(front) => {
                self.fronts.insert(instance, front);
                self.flush(instance);
            }
            Err(_) => self.reply.give_in(instance, "decision module panicked at start"),
        }
        Ok(())
    }

    fn topology(&mut self, now: u64, at: usize, r: &mut Reader) -> Result<(), WireError> {
        let number = r.u32()?;
        let kind = r.list_kind()?;
        let version = r.u64()?;
        if kind == ListUpdate::Failed {
            return self.pass(now, at, Event::List { kind, version, entries: &[] });
        }
        let entries = self
            .pages
            .remove(&number)
            .ok_or_else(|| WireError::Misplaced { at, what: format!("list {number} was never sent") })?;
        let event = Event::List { kind, version, entries: &entries };
        let done = self.pass(now, at, event);
        self.pages.insert(number, entries);
        done
    }

    fn simple(&mut self, code: u8, now: u64, at: usize, r: &mut Reader) -> Result<(), WireError> {
        let load;
        let event = match code {
            28 => {
                let (id, class, remaining) = (r.u64()?, r.u8()?, r.u32()?.into());
                let (key, tenant, hint, opts) = (r.u64()?, r.u32()?, r.u32()?, r.u8()?);
                Event::Request(Arrival {
                    id,
                    class,
                    remaining,
                    key,
                    tenant,
                    work_hint: (opts & 1 != 0).then_some(hint.into()),
                    is_retry: opts & 2 != 0,
                    policy: Default::default(),
                })
            }
            27 => {
                let (id, attempt) = (r.u64()?, r.u16()?);
                let _ = (r.u32()?, r.u32()?);
                Event::FirstByte { id, attempt }
            }
            19 => Event::Timer { name: r.u64()? },
            29 => {
                let (id, settled, ending) = (r.u64()?, r.u8()? != 0, r.ending()?);
                let (machine, took, attempt) = (r.u32()?, r.u32()?.into(), r.u16()?);
                load = r.load()?;
                Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt,
                    machine,
                    outcome: ending,
                    request_done: settled,
                    duration: took,
                    load_report: &load,
                })
            }
            21 => {
                let (machine, ending, took) = (r.u32()?, r.ending()?, r.u32()?.into());
                load = r.load()?;
                Event::ProbeEnded { machine, outcome: ending, duration: took, load_report: &load }
            }
            23 => Event::Complaint { machine: r.u32()?, class: r.u8()?, age: r.u32()?.into() },
            16 => {
                let from = r.u32()?;
                let n = r.u16()?.into();
                Event::PeerMessage { from, bytes: r.bytes(n)? }
            }
            24 => Event::RolloutStatus(RolloutStatus {
                build: r.u16()?,
                stage: r.u8()?,
                phase: r.phase()?,
                is_vote_reply: r.u8()? != 0,
                outcome: r.ending()?,
                cap: r.f32()?.into(),
                age: r.u32()?.into(),
            }),
            25 => Event::PlatformTally {
                build: r.u16()?,
                class: r.u8()?,
                count: r.u32()?,
                failed: r.u32()?,
                mean_time: r.u32()?.into(),
                age: r.u32()?.into(),
            },
            17 => Event::ClientLeft { id: r.u64()? },
            value => return Err(WireError::Unknown { at, what: "event code", value: value.into() }),
        };
        self.pass(now, at, event)
    }

    /// Hands an event to its front; a defect inside the module ends the day with its own word.
    fn pass(&mut self, now: u64, at: usize, event: Event) -> Result<(), WireError> {
        let instance = self.instance(at)?;
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
            Err(_) => self.reply.give_in(instance, "decision module panicked"),
        }
        Ok(())
    }

    fn flush(&mut self, instance: u32) {
        for action in &self.actions {
            self.reply.push(instance, action);
        }
    }
}
