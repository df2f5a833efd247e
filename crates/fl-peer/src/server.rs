//! Server side of the peer protocol.

use crate::codec;
use crate::peer_capnp::{peer, stamp};
use capnp::{Error, capability::Rc};
use fl_kernel::services::PeerRequestHandler;
use std::sync::Arc;
use std::time::Duration;

/// Handles the calls of one connection.
pub struct PeerServer {
    pub handler: Arc<dyn PeerRequestHandler>,
}

impl PeerServer {
    fn observe(&self, stamp: Result<stamp::Reader<'_>, Error>) -> Result<(), Error> {
        self.handler.observe(codec::read_timestamp(stamp?));
        Ok(())
    }

    fn write_timestamp(&self, out: stamp::Builder<'_>) {
        codec::write_timestamp(out, self.handler.stamp());
    }
}

impl peer::Server for PeerServer {
    async fn put_record(
        self: Rc<Self>,
        params: peer::PutRecordParams,
        mut results: peer::PutRecordResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        self.observe(params.get_stamp())?;
        self.handler.put_record(codec::read_record(params.get_record()?)?);
        self.write_timestamp(results.get().init_stamp());
        Ok(())
    }

    async fn drop_record(
        self: Rc<Self>,
        params: peer::DropRecordParams,
        _results: peer::DropRecordResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        self.handler.drop_record(codec::read_id(params.get_id()?), params.get_epoch());
        Ok(())
    }

    async fn find_record(
        self: Rc<Self>,
        params: peer::FindRecordParams,
        mut results: peer::FindRecordResults,
    ) -> Result<(), Error> {
        let id = codec::read_id(params.get()?.get_id()?);
        if let Some(record) = self.handler.find_record(id) {
            results.get().set_found(true);
            codec::write_record(results.get().init_record(), &record);
        }
        Ok(())
    }

    async fn hand_over(
        self: Rc<Self>,
        params: peer::HandOverParams,
        mut results: peer::HandOverResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        self.observe(params.get_stamp())?;
        self.handler.hand_over(codec::read_handover(params.get_handed()?)?);
        self.write_timestamp(results.get().init_stamp());
        Ok(())
    }

    async fn take_over(
        self: Rc<Self>,
        params: peer::TakeOverParams,
        mut results: peer::TakeOverResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let id = codec::read_id(params.get_id()?);
        let new_owner = params.get_new_owner()?.to_string()?;
        self.observe(params.get_stamp())?;
        if let Some(handover) = self.handler.take_over(id, new_owner, params.get_seen_epoch()) {
            results.get().set_found(true);
            codec::write_handover(results.get().init_handed(), &handover);
        }
        self.write_timestamp(results.get().init_stamp());
        Ok(())
    }

    async fn read_tokens(
        self: Rc<Self>,
        params: peer::ReadTokensParams,
        mut results: peer::ReadTokensResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let id = codec::read_id(params.get_id()?);
        let wait = Duration::from_millis(params.get_wait_ms());
        let offset = params.get_offset();
        if let Some(batch) = self.handler.read_tokens(id, offset, wait).await {
            results.get().set_found(true);
            codec::write_batch(results.get().init_batch(), &batch);
        }
        Ok(())
    }

    async fn claim_status(
        self: Rc<Self>,
        params: peer::ClaimStatusParams,
        mut results: peer::ClaimStatusResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let id = codec::read_id(params.get_id()?);
        self.observe(params.get_stamp())?;
        results.get().set_status(codec::write_claim_status(self.handler.claim_status(id)));
        self.write_timestamp(results.get().init_stamp());
        Ok(())
    }

    async fn fetch_configuration(
        self: Rc<Self>,
        params: peer::FetchConfigurationParams,
        mut results: peer::FetchConfigurationResults,
    ) -> Result<(), Error> {
        let above_version = params.get()?.get_above_version();
        if let Some(configuration) = self.handler.configuration(above_version) {
            let body_json = serde_json::to_string(&configuration).map_err(codec::json_error)?;
            results.get().set_found(true);
            results.get().set_body_json(&body_json);
        }
        Ok(())
    }

    async fn tell(
        self: Rc<Self>,
        params: peer::TellParams,
        mut results: peer::TellResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        self.observe(params.get_stamp())?;
        let notices = params.get_news()?.iter().map(codec::read_notice);
        self.handler.handle_notices(notices.collect::<Result<Vec<_>, _>>()?);
        self.write_timestamp(results.get().init_stamp());
        Ok(())
    }

    async fn fetch_vms(
        self: Rc<Self>,
        _params: peer::FetchVmsParams,
        mut results: peer::FetchVmsResults,
    ) -> Result<(), Error> {
        let vms_json = serde_json::to_string(&self.handler.vms()).map_err(codec::json_error)?;
        results.get().set_vms_json(&vms_json);
        Ok(())
    }

    async fn keep_events(
        self: Rc<Self>,
        params: peer::KeepEventsParams,
        _results: peer::KeepEventsResults,
    ) -> Result<(), Error> {
        let events_json = params.get()?.get_events_json()?.to_str()?;
        self.handler.keep_events(serde_json::from_str(events_json).map_err(codec::json_error)?);
        Ok(())
    }
}
