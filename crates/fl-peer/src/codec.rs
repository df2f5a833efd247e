//! Conversion between the shared types and their capnp messages.

use crate::peer_capnp::{
    ClaimStatus as WireStatus, handed_request, id, news, request_record, restart, stamp,
    token_batch,
};
use capnp::{Error, Result};
use fl_kernel::services::{ClaimStatus, PeerNotice, RequestHandover, ResponseProgress, TokenBatch};
use fl_protocol::event::HlcTimestamp;
use fl_protocol::request::{Restart, StreamLocation};
use fl_protocol::{Priority, RequestId, RequestRecord};

pub fn write_id(mut out: id::Builder<'_>, id: RequestId) {
    out.set_high((id >> 64) as u64);
    out.set_low(id as u64);
}

pub fn read_id(id: id::Reader<'_>) -> RequestId {
    (RequestId::from(id.get_high()) << 64) | RequestId::from(id.get_low())
}

pub fn write_timestamp(mut out: stamp::Builder<'_>, timestamp: HlcTimestamp) {
    out.set_time_ms(timestamp.time_ms);
    out.set_counter(timestamp.counter);
}

pub fn read_timestamp(stamp: stamp::Reader<'_>) -> HlcTimestamp {
    HlcTimestamp { time_ms: stamp.get_time_ms(), counter: stamp.get_counter() }
}

pub fn write_record(mut out: request_record::Builder<'_>, record: &RequestRecord) {
    write_id(out.reborrow().init_id(), record.id);
    out.set_workspace(&record.workspace);
    out.set_class(&record.class);
    out.set_deferrable(record.priority == Priority::Deferrable);
    out.set_body_json(&record.body_json);
    out.set_fingerprint(record.fingerprint);
    out.set_owner(&record.owner);
    out.set_guardian(&record.guardian);
    out.set_epoch(record.epoch);
    out.set_accepted_at_ms(record.accepted_at_ms);
    out.set_deadline_at_ms(record.deadline_at_ms);
    let mut restarts = out.reborrow().init_restarts(record.restarts.len() as u32);
    for (index, restart) in record.restarts.iter().enumerate() {
        let mut entry = restarts.reborrow().get(index as u32);
        entry.set_epoch(restart.epoch);
        entry.set_from_offset(restart.from_offset);
    }
    if let Some(location) = &record.stream {
        let mut stream = out.init_stream();
        stream.set_runner(&location.runner);
        stream.set_address(&location.address);
        stream.set_stream_id(&location.stream_id);
        stream.set_attempt(location.attempt);
        stream.set_base_offset(location.base_offset);
    }
}

pub fn read_record(record: request_record::Reader<'_>) -> Result<RequestRecord> {
    let stream = if record.has_stream() {
        let location = record.get_stream()?;
        Some(StreamLocation {
            runner: location.get_runner()?.to_string()?,
            address: location.get_address()?.to_string()?,
            stream_id: location.get_stream_id()?.to_string()?,
            attempt: location.get_attempt(),
            base_offset: location.get_base_offset(),
        })
    } else {
        None
    };
    Ok(RequestRecord {
        id: read_id(record.get_id()?),
        workspace: record.get_workspace()?.to_string()?,
        class: record.get_class()?.to_string()?,
        priority: if record.get_deferrable() { Priority::Deferrable } else { Priority::Counter },
        body_json: record.get_body_json()?.to_string()?,
        fingerprint: record.get_fingerprint(),
        owner: record.get_owner()?.to_string()?,
        guardian: record.get_guardian()?.to_string()?,
        epoch: record.get_epoch(),
        stream,
        accepted_at_ms: record.get_accepted_at_ms(),
        deadline_at_ms: record.get_deadline_at_ms(),
        restarts: record.get_restarts()?.iter().map(read_restart).collect(),
    })
}

fn read_restart(restart: restart::Reader<'_>) -> Restart {
    Restart { epoch: restart.get_epoch(), from_offset: restart.get_from_offset() }
}

fn write_texts(mut out: capnp::text_list::Builder<'_>, texts: &[String]) {
    for (index, text) in texts.iter().enumerate() {
        out.set(index as u32, text);
    }
}

fn read_texts(texts: capnp::text_list::Reader<'_>) -> Result<Vec<String>> {
    texts.iter().map(|text| Ok(text?.to_string()?)).collect()
}

pub fn write_handover(mut out: handed_request::Builder<'_>, handover: &RequestHandover) {
    write_record(out.reborrow().init_record(), &handover.record);
    write_texts(out.init_tokens(handover.tokens.len() as u32), &handover.tokens);
}

pub fn read_handover(handover: handed_request::Reader<'_>) -> Result<RequestHandover> {
    Ok(RequestHandover {
        record: read_record(handover.get_record()?)?,
        tokens: read_texts(handover.get_tokens()?)?,
    })
}

pub fn write_batch(mut out: token_batch::Builder<'_>, batch: &TokenBatch) {
    write_texts(out.reborrow().init_tokens(batch.tokens.len() as u32), &batch.tokens);
    match &batch.state {
        ResponseProgress::Running => out.set_state(token_batch::State::Running),
        ResponseProgress::Complete => out.set_state(token_batch::State::Whole),
        ResponseProgress::Moved => out.set_state(token_batch::State::Moved),
        ResponseProgress::Failed(problem_json) => {
            out.set_state(token_batch::State::Failed);
            out.set_problem_json(problem_json);
        }
    }
}

pub fn read_batch(batch: token_batch::Reader<'_>) -> Result<TokenBatch> {
    let state = match batch.get_state()? {
        token_batch::State::Running => ResponseProgress::Running,
        token_batch::State::Whole => ResponseProgress::Complete,
        token_batch::State::Moved => ResponseProgress::Moved,
        token_batch::State::Failed => {
            ResponseProgress::Failed(batch.get_problem_json()?.to_string()?)
        }
    };
    Ok(TokenBatch { tokens: read_texts(batch.get_tokens()?)?, state })
}

pub fn write_notice(mut out: news::Builder<'_>, notice: &PeerNotice) {
    match notice {
        PeerNotice::Leaving { vm, at_ms } => {
            let mut leaving = out.reborrow().init_leaving();
            leaving.set_vm(vm);
            leaving.set_at_ms(*at_ms);
        }
        PeerNotice::Judged { fingerprint, quarantined } => {
            let mut judged = out.reborrow().init_judged();
            judged.set_fingerprint(*fingerprint);
            judged.set_quarantined(*quarantined);
        }
    }
}

pub fn read_notice(news: news::Reader<'_>) -> Result<PeerNotice> {
    match news.which()? {
        news::Leaving(leaving) => Ok(PeerNotice::Leaving {
            vm: leaving.get_vm()?.to_string()?,
            at_ms: leaving.get_at_ms(),
        }),
        news::Judged(judged) => Ok(PeerNotice::Judged {
            fingerprint: judged.get_fingerprint(),
            quarantined: judged.get_quarantined(),
        }),
    }
}

pub fn write_claim_status(status: Option<ClaimStatus>) -> WireStatus {
    match status {
        None => WireStatus::NotKnown,
        Some(ClaimStatus::Released) => WireStatus::Released,
        Some(ClaimStatus::Running) => WireStatus::Running,
        Some(ClaimStatus::Ended) => WireStatus::Ended,
    }
}

pub fn read_claim_status(status: WireStatus) -> Option<ClaimStatus> {
    match status {
        WireStatus::NotKnown => None,
        WireStatus::Released => Some(ClaimStatus::Released),
        WireStatus::Running => Some(ClaimStatus::Running),
        WireStatus::Ended => Some(ClaimStatus::Ended),
    }
}

pub fn json_error(error: serde_json::Error) -> Error {
    Error::failed(format!("cannot parse or encode JSON: {error}"))
}
