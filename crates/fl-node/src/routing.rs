//! The router, which chooses the runner of a call.
//!
//! It combines the directory, the estimates of the runners' caches and the work that this node has
//! sent, and applies the policy from the settings. The policies are in `fl_routing::policy`; see
//! `docs/design/050-routing.md`.

mod runner_polling;

use crate::context::{ServiceContext, StartError};
use fl_kernel::clock::unix_ms;
use fl_kernel::names;
use fl_kernel::services::{Backend, Directory, Router, RoutingDecision, RoutingQuery};
use fl_protocol::platform::VmKind;
use fl_protocol::{ModelName, Problem, RequestId, UnixMs, VmName};
use fl_routing::cache_estimate::CacheEstimates;
use fl_routing::in_flight::InFlightStreams;
use fl_routing::load_estimate::{LoadEstimate, duration_from_ms};
use fl_routing::policy::{Call, Candidate, Choice, Policy, policy_by_name};
use fl_routing::rendezvous::name_hash;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::sync::Arc;
use std::time::Duration;

/// The retry delay that callers are given if no runner can take the call.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time between two reads of a runner's loaded models, in milliseconds; orders change them rarely.
const MODELS_POLL_INTERVAL_MS: u64 = 5_000;
/// Time between two reads of a runner's loaded models while this node serves no calls, in
/// milliseconds.
const IDLE_MODELS_POLL_INTERVAL_MS: u64 = 30_000;

/// The router service of one node.
pub struct NodeRouter {
    context: ServiceContext,
    state: Mutex<RouterState>,
}

struct RouterState {
    policy: Box<dyn Policy>,
    random: StdRng,
    cache_estimates: CacheEstimates,
    in_flight: InFlightStreams,
    /// The loaded models of each runner, sorted by runner.
    models: Vec<LoadedModels>,
}

/// The models that a runner had loaded when it was last polled.
struct LoadedModels {
    runner: VmName,
    models: Vec<ModelName>,
    read_at_ms: UnixMs,
}

/// Starts the router, registers it and starts to poll the runners.
pub fn start(context: &ServiceContext) -> Result<Arc<NodeRouter>, StartError> {
    let state = RouterState {
        policy: policy_by_name(&context.settings.routing.policy),
        random: StdRng::seed_from_u64(name_hash(&context.settings.node.vm)),
        cache_estimates: CacheEstimates::default(),
        in_flight: InFlightStreams::default(),
        models: Vec::new(),
    };
    let router = Arc::new(NodeRouter { context: context.clone(), state: Mutex::new(state) });
    let service: Arc<dyn Router> = router.clone();
    context.registry.register(names::ROUTER, service)?;
    runner_polling::spawn(&router);
    Ok(router)
}

impl NodeRouter {
    fn runners(&self) -> Vec<Backend> {
        let directory = self.context.registry.find::<dyn Directory>(names::DIRECTORY);
        directory.map(|directory| directory.backends(VmKind::Runner)).unwrap_or_default()
    }

    fn set_models(&self, runner: &VmName, models: Vec<ModelName>) {
        let loaded = LoadedModels { runner: runner.clone(), models, read_at_ms: unix_ms() };
        let mut state = self.state.lock();
        match state.find_models(runner) {
            Ok(index) => state.models[index] = loaded,
            Err(index) => state.models.insert(index, loaded),
        }
    }

    /// Returns whether it is time to read a runner's loaded models again.
    fn models_are_stale(&self, runner: &VmName) -> bool {
        let interval_ms = if self.serves_model_calls() {
            MODELS_POLL_INTERVAL_MS
        } else {
            IDLE_MODELS_POLL_INTERVAL_MS
        };
        let state = self.state.lock();
        let read_at_ms =
            state.find_models(runner).map_or(0, |index| state.models[index].read_at_ms);
        unix_ms().saturating_sub(read_at_ms) >= interval_ms
    }

    /// Returns whether this node serves model calls, which need fresh reports.
    fn serves_model_calls(&self) -> bool {
        let directory = self.context.registry.find::<dyn Directory>(names::DIRECTORY);
        directory.is_ok_and(|directory| directory.serves_model_calls())
    }
}

impl Router for NodeRouter {
    fn choose(&self, query: &RoutingQuery) -> Result<RoutingDecision, Problem> {
        let no_backend = Problem::NoBackend { retry_after: NO_BACKEND_RETRY_AFTER };
        let now_ms = unix_ms();
        let mut state = self.state.lock();
        let runners = state.eligible_runners(self.runners(), query);
        let own_data_center = &self.context.settings.node.data_center;
        let candidates: Vec<Candidate> =
            runners.iter().map(|runner| state.to_candidate(runner, own_data_center)).collect();
        let choice = state.choose(query, &candidates).ok_or(no_backend)?;
        let runner = &runners[choice.index].vm;
        state.in_flight.record_sent(query.id, &runner.name, choice.prefill_tokens, now_ms);
        state.cache_estimates.get_or_insert(&runner.name).insert_expected(&query.blocks);
        Ok(RoutingDecision {
            runner: runner.name.clone(),
            address: runner.address.clone(),
            expected_prefill_tokens: choice.prefill_tokens,
            expected_first_token: duration_from_ms(choice.first_token_ms),
        })
    }

    fn record_first_token(&self, id: RequestId, _waited: Duration) {
        self.state.lock().in_flight.record_first_token(id, unix_ms());
    }

    fn record_end(&self, id: RequestId, runner: &VmName) {
        self.state.lock().in_flight.record_end(id, runner, unix_ms());
    }
}

impl RouterState {
    /// Returns the runners that may take the call: healthy, not leaving, not excluded, with the
    /// call's model loaded.
    fn eligible_runners(&self, mut runners: Vec<Backend>, query: &RoutingQuery) -> Vec<Backend> {
        runners.retain(|runner| {
            runner.leaving_at_ms.is_none()
                && !runner.vm.leaving
                && runner.healthy
                && query.excluded.binary_search(&runner.vm.name).is_err()
                && self.may_serve_model(&runner.vm.name, &query.model)
        });
        if query.exclusive {
            runners.retain(|runner| self.estimate_load(runner).streams == 0);
        }
        runners
    }

    fn find_models(&self, runner: &VmName) -> Result<usize, usize> {
        self.models.binary_search_by(|loaded| loaded.runner.cmp(runner))
    }

    /// Returns whether a runner may have a model loaded; also true if its models are not known yet.
    fn may_serve_model(&self, runner: &VmName, model: &str) -> bool {
        let Ok(index) = self.find_models(runner) else {
            return true;
        };
        let models = &self.models[index].models;
        models.binary_search_by(|loaded| loaded.as_str().cmp(model)).is_ok()
    }

    fn estimate_load(&self, runner: &Backend) -> LoadEstimate {
        let correction = self.in_flight.correction(&runner.vm.name, runner.load.as_ref());
        LoadEstimate::corrected(runner.load.as_ref(), correction, self.in_flight.mean_stream_ms())
    }

    fn to_candidate(&self, runner: &Backend, own_data_center: &str) -> Candidate {
        Candidate {
            name: runner.vm.name.clone(),
            name_hash: name_hash(&runner.vm.name),
            load: self.estimate_load(runner),
            is_local: runner.vm.data_center == own_data_center,
            price_millicents_per_h: 0,
        }
    }

    fn choose(&mut self, query: &RoutingQuery, candidates: &[Candidate]) -> Option<Choice> {
        let call = Call {
            blocks: query.blocks.clone(),
            prompt_tokens: query.prompt_tokens,
            priority: query.class.priority,
            target_ms: query.class.first_token_target_ms,
            deadline_ms: query.class.deadline_ms,
        };
        self.policy.choose(&call, candidates, &self.cache_estimates, &mut self.random)
    }
}
