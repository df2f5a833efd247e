//! What the cloud offers, and which offers lately brought no VM.

use fl_protocol::DataCenterName;
use fl_protocol::platform::Price;
use std::time::Duration;

/// Pause after the first refusal of an offer; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(30);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(600);
/// How long a VM may take to start before the offer counts as refused.
pub const START_TIMEOUT: Duration = Duration::from_secs(120);
/// A notice for at least this part of an offer's VMs is a wave.
const WAVE_DIVISOR: u32 = 3;

/// VMs of one machine class in one data centre, at a price.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// The data centre.
    pub data_center: DataCenterName,
    /// The machine class.
    pub machine_class: String,
    /// Whether the cloud may take the VMs back.
    pub reclaimable: bool,
    /// Price of one VM, in thousandths of a cent an hour.
    pub price_millicents_per_h: u64,
}

impl Offer {
    /// Says whether two offers differ at most in price.
    pub fn is_same(&self, other: &Offer) -> bool {
        self.data_center == other.data_center
            && self.machine_class == other.machine_class
            && self.reclaimable == other.reclaimable
    }
}

impl From<Price> for Offer {
    fn from(price: Price) -> Self {
        Offer {
            data_center: price.data_center,
            machine_class: price.machine_class,
            reclaimable: price.reclaimable,
            price_millicents_per_h: price.price_millicents_per_h,
        }
    }
}

/// A VM that was asked for and has not started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// What was asked for.
    pub offer: Offer,
    /// When.
    pub asked_at: Duration,
}

#[derive(Debug, Clone)]
struct Refusal {
    data_center: DataCenterName,
    machine_class: String,
    reclaimable: bool,
    count: u32,
    retry_at: Duration,
}

/// Which offers rest after refusals; prices do not matter for that.
#[derive(Debug, Clone, Default)]
pub struct OfferHealth {
    refusals: Vec<Refusal>,
}

impl OfferHealth {
    /// Says whether an offer may be tried.
    pub fn is_open(&self, offer: &Offer, now: Duration) -> bool {
        self.find(offer).is_none_or(|refusal| now >= refusal.retry_at)
    }

    /// Takes word of a refusal; the offer rests for longer each time.
    pub fn refused(&mut self, offer: &Offer, now: Duration) {
        let index = match self.refusals.iter().position(|refusal| refusal.is_of(offer)) {
            Some(index) => index,
            None => {
                self.refusals.push(Refusal::none(offer));
                self.refusals.len() - 1
            }
        };
        let refusal = &mut self.refusals[index];
        let doubled = FIRST_PAUSE * 2u32.saturating_pow(refusal.count.min(8));
        refusal.count += 1;
        refusal.retry_at = now + doubled.min(LONGEST_PAUSE);
    }

    /// Takes word that a VM of the offer started.
    pub fn started(&mut self, offer: &Offer) {
        self.refusals.retain(|refusal| !refusal.is_of(offer));
    }

    /// Takes word of reclaim notices; a wave makes the offer rest, since what it would start
    /// next would be taken back as well.
    pub fn reclaimed(&mut self, offer: &Offer, noticed_vms: u32, running_vms: u32, now: Duration) {
        if noticed_vms > 0 && noticed_vms * WAVE_DIVISOR >= running_vms {
            self.refused(offer, now);
        }
    }

    /// Takes out the requests that will never start, and counts them as refusals.
    pub fn drop_overdue(&mut self, requests: &mut Vec<StartRequest>, now: Duration) {
        let overdue = |request: &StartRequest| now >= request.asked_at + START_TIMEOUT;
        for request in requests.iter().filter(|request| overdue(request)) {
            self.refused(&request.offer, now);
        }
        requests.retain(|request| !overdue(request));
    }

    fn find(&self, offer: &Offer) -> Option<&Refusal> {
        self.refusals.iter().find(|refusal| refusal.is_of(offer))
    }
}

impl Refusal {
    fn none(offer: &Offer) -> Self {
        Refusal {
            data_center: offer.data_center.clone(),
            machine_class: offer.machine_class.clone(),
            reclaimable: offer.reclaimable,
            count: 0,
            retry_at: Duration::ZERO,
        }
    }

    fn is_of(&self, offer: &Offer) -> bool {
        self.data_center == offer.data_center
            && self.machine_class == offer.machine_class
            && self.reclaimable == offer.reclaimable
    }
}
