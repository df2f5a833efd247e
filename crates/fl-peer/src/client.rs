//! Client that calls peers from any thread.

use crate::codec;
use crate::connection_pool::ConnectionPool;
use crate::peer_capnp::peer;
use async_trait::async_trait;
use fl_kernel::services::{
    ClaimStatus, PeerError, PeerNotice, PeerRequestHandler, PeerRpc, RequestHandover, TokenBatch,
};
use fl_protocol::event::Event;
use fl_protocol::platform::Vm;
use fl_protocol::{
    ClaimNonce, Configuration, Member, OwnerEpoch, RequestId, RequestRecord, TokenOffset, VmName,
};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Work that is sent to the peer thread.
pub type PeerJob = Box<dyn FnOnce(Rc<ConnectionPool>) + Send>;

/// Response to a call, as a future of the peer thread.
type ResponseFuture<T> = Pin<Box<dyn Future<Output = Result<T, capnp::Error>>>>;
/// A call that can be sent again on another connection.
type Call<T> = Arc<dyn Fn(peer::Client) -> ResponseFuture<T> + Send + Sync>;

const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Client that calls peers over pooled connections.
///
/// Every call has a timeout. If a call on a reused connection times out or the connection is lost,
/// it is retried once on a new connection, because the old one may have been dead. All calls are
/// idempotent.
#[derive(Clone)]
pub struct PeerClient {
    jobs: mpsc::UnboundedSender<PeerJob>,
    handler: Arc<dyn PeerRequestHandler>,
}

impl PeerClient {
    pub(crate) fn new(
        jobs: mpsc::UnboundedSender<PeerJob>,
        handler: Arc<dyn PeerRequestHandler>,
    ) -> Self {
        PeerClient { jobs, handler }
    }

    async fn call<T: Send + 'static>(
        &self,
        to: &Member,
        timeout: Duration,
        call: impl Fn(peer::Client) -> ResponseFuture<T> + Send + Sync + 'static,
    ) -> Result<T, PeerError> {
        let (tx, rx) = oneshot::channel();
        let address = to.peer_address;
        let name = to.vm.clone();
        let call: Call<T> = Arc::new(call);
        let job: PeerJob = Box::new(move |pool| {
            tokio::task::spawn_local(async move {
                let result = call_with_retry(&pool, address, &name, timeout, call).await;
                let _ = tx.send(result);
            });
        });
        let stopped = || PeerError::Unreachable(to.vm.clone());
        self.jobs.send(job).map_err(|_| stopped())?;
        rx.await.map_err(|_| stopped())?
    }
}

async fn call_with_retry<T>(
    pool: &Rc<ConnectionPool>,
    address: SocketAddr,
    name: &str,
    timeout: Duration,
    call: Call<T>,
) -> Result<T, PeerError> {
    let connection = pool.get(address).await?;
    let first = call_once(connection.client, name, timeout, &call).await;
    if !matches!(first, Err(PeerError::TimedOut(_) | PeerError::Unreachable(_))) {
        return first;
    }
    pool.discard(address, connection.generation);
    if !connection.reused {
        return first;
    }
    let connection = pool.get(address).await?;
    let second = call_once(connection.client, name, timeout, &call).await;
    if second.is_err() {
        pool.discard(address, connection.generation);
    }
    second
}

async fn call_once<T>(
    client: peer::Client,
    name: &str,
    timeout: Duration,
    call: &Call<T>,
) -> Result<T, PeerError> {
    match tokio::time::timeout(timeout, call(client)).await {
        Err(_) => Err(PeerError::TimedOut(name.to_string())),
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if error.kind == capnp::ErrorKind::Disconnected => {
            Err(PeerError::Unreachable(name.to_string()))
        }
        Ok(Err(error)) => Err(PeerError::Failed(name.to_string(), error.to_string())),
    }
}

#[async_trait]
impl PeerRpc for PeerClient {
    async fn put_record(&self, to: &Member, record: &RequestRecord) -> Result<(), PeerError> {
        let record = record.clone();
        let handler = self.handler.clone();
        let call = move |client: peer::Client| -> ResponseFuture<()> {
            let mut request = client.put_record_request();
            codec::write_record(request.get().init_record(), &record);
            codec::write_timestamp(request.get().init_stamp(), handler.stamp());
            let handler = handler.clone();
            Box::pin(async move {
                let response = request.send().promise.await?;
                handler.observe(codec::read_timestamp(response.get()?.get_stamp()?));
                Ok(())
            })
        };
        self.call(to, CALL_TIMEOUT, call).await
    }

    async fn drop_record(
        &self,
        to: &Member,
        id: RequestId,
        epoch: OwnerEpoch,
    ) -> Result<(), PeerError> {
        let call = move |client: peer::Client| -> ResponseFuture<()> {
            let mut request = client.drop_record_request();
            codec::write_id(request.get().init_id(), id);
            request.get().set_epoch(epoch);
            Box::pin(async move { request.send().promise.await.map(|_| ()) })
        };
        self.call(to, CALL_TIMEOUT, call).await
    }

    async fn find_record(
        &self,
        to: &Member,
        id: RequestId,
    ) -> Result<Option<RequestRecord>, PeerError> {
        let call = move |client: peer::Client| -> ResponseFuture<Option<RequestRecord>> {
            let mut request = client.find_record_request();
            codec::write_id(request.get().init_id(), id);
            Box::pin(async move {
                let response = request.send().promise.await?;
                let results = response.get()?;
                if !results.get_found() {
                    return Ok(None);
                }
                codec::read_record(results.get_record()?).map(Some)
            })
        };
        self.call(to, CALL_TIMEOUT, call).await
    }

    async fn hand_over(
        &self,
        to: &Member,
        record: &RequestRecord,
        tokens: &[String],
    ) -> Result<(), PeerError> {
        let handover = RequestHandover { record: record.clone(), tokens: tokens.to_vec() };
        let handler = self.handler.clone();
        let call = move |client: peer::Client| -> ResponseFuture<()> {
            let mut request = client.hand_over_request();
            codec::write_handover(request.get().init_handed(), &handover);
            codec::write_timestamp(request.get().init_stamp(), handler.stamp());
            let handler = handler.clone();
            Box::pin(async move {
                let response = request.send().promise.await?;
                handler.observe(codec::read_timestamp(response.get()?.get_stamp()?));
                Ok(())
            })
        };
        self.call(to, CALL_TIMEOUT, call).await
    }

    async fn take_over(
        &self,
        from: &Member,
        id: RequestId,
        new_owner: &VmName,
        seen_epoch: OwnerEpoch,
    ) -> Result<Option<RequestHandover>, PeerError> {
        let new_owner = new_owner.clone();
        let handler = self.handler.clone();
        let call = move |client: peer::Client| -> ResponseFuture<Option<RequestHandover>> {
            let mut request = client.take_over_request();
            codec::write_id(request.get().init_id(), id);
            request.get().set_new_owner(&new_owner);
            request.get().set_seen_epoch(seen_epoch);
            codec::write_timestamp(request.get().init_stamp(), handler.stamp());
            let handler = handler.clone();
            Box::pin(async move {
                let response = request.send().promise.await?;
                let results = response.get()?;
                handler.observe(codec::read_timestamp(results.get_stamp()?));
                if !results.get_found() {
                    return Ok(None);
                }
                codec::read_handover(results.get_handed()?).map(Some)
            })
        };
        self.call(from, CALL_TIMEOUT, call).await
    }

    async fn read_tokens(
        &self,
        from: &Member,
        id: RequestId,
        offset: TokenOffset,
        wait: Duration,
    ) -> Result<Option<TokenBatch>, PeerError> {
        let call = move |client: peer::Client| -> ResponseFuture<Option<TokenBatch>> {
            let mut request = client.read_tokens_request();
            codec::write_id(request.get().init_id(), id);
            request.get().set_offset(offset);
            request.get().set_wait_ms(wait.as_millis() as u64);
            Box::pin(async move {
                let response = request.send().promise.await?;
                let results = response.get()?;
                if !results.get_found() {
                    return Ok(None);
                }
                codec::read_batch(results.get_batch()?).map(Some)
            })
        };
        self.call(from, CALL_TIMEOUT + wait, call).await
    }

    async fn claim_status(
        &self,
        to: &Member,
        nonce: ClaimNonce,
    ) -> Result<Option<ClaimStatus>, PeerError> {
        let handler = self.handler.clone();
        let call = move |client: peer::Client| -> ResponseFuture<Option<ClaimStatus>> {
            let mut request = client.claim_status_request();
            codec::write_id(request.get().init_id(), nonce);
            codec::write_timestamp(request.get().init_stamp(), handler.stamp());
            let handler = handler.clone();
            Box::pin(async move {
                let response = request.send().promise.await?;
                let results = response.get()?;
                handler.observe(codec::read_timestamp(results.get_stamp()?));
                Ok(codec::read_claim_status(results.get_status()?))
            })
        };
        self.call(to, CALL_TIMEOUT, call).await
    }

    async fn fetch_configuration(
        &self,
        from: &Member,
        above_version: u64,
    ) -> Result<Option<Configuration>, PeerError> {
        let call = move |client: peer::Client| -> ResponseFuture<Option<Configuration>> {
            let mut request = client.fetch_configuration_request();
            request.get().set_above_version(above_version);
            Box::pin(async move {
                let response = request.send().promise.await?;
                let results = response.get()?;
                if !results.get_found() {
                    return Ok(None);
                }
                let body_json = results.get_body_json()?.to_str()?;
                serde_json::from_str(body_json).map(Some).map_err(codec::json_error)
            })
        };
        self.call(from, CALL_TIMEOUT, call).await
    }

    async fn notify(&self, to: &Member, notices: &[PeerNotice]) -> Result<(), PeerError> {
        let notices = notices.to_vec();
        let handler = self.handler.clone();
        let call = move |client: peer::Client| -> ResponseFuture<()> {
            let mut request = client.tell_request();
            let mut list = request.get().init_news(notices.len() as u32);
            for (index, item) in notices.iter().enumerate() {
                codec::write_notice(list.reborrow().get(index as u32), item);
            }
            codec::write_timestamp(request.get().init_stamp(), handler.stamp());
            let handler = handler.clone();
            Box::pin(async move {
                let response = request.send().promise.await?;
                handler.observe(codec::read_timestamp(response.get()?.get_stamp()?));
                Ok(())
            })
        };
        self.call(to, CALL_TIMEOUT, call).await
    }

    async fn fetch_vms(&self, from: &Member) -> Result<Vec<Vm>, PeerError> {
        let call = |client: peer::Client| -> ResponseFuture<Vec<Vm>> {
            let request = client.fetch_vms_request();
            Box::pin(async move {
                let response = request.send().promise.await?;
                let vms_json = response.get()?.get_vms_json()?.to_str()?;
                serde_json::from_str(vms_json).map_err(codec::json_error)
            })
        };
        self.call(from, CALL_TIMEOUT, call).await
    }

    async fn keep_events(&self, to: &Member, events: &[Event]) -> Result<(), PeerError> {
        let events_json = serde_json::to_string(events)
            .map_err(|error| PeerError::Failed(to.vm.clone(), error.to_string()))?;
        let call = move |client: peer::Client| -> ResponseFuture<()> {
            let mut request = client.keep_events_request();
            request.get().set_events_json(&events_json);
            Box::pin(async move { request.send().promise.await.map(|_| ()) })
        };
        self.call(to, CALL_TIMEOUT, call).await
    }
}
