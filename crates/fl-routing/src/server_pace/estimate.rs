//! Estimates paces from the observations of all nodes.

use super::{FACTOR_MAX, PaceSum};

/// Weight of observations from which a server takes part in the comparison.
const WEIGHT_MIN: f64 = 1.0;
/// Least variance of an observation that is assumed. Few observations may agree by chance.
const VARIANCE_MIN: f64 = 0.01;
/// Standard deviations by which the spread over the servers must exceed what noise explains.
const DEVIATIONS_MIN: f64 = 3.0;
/// Factor by which noise is assumed larger than observations of independent times would show.
/// Streams that run at a server at the same time see the same load.
const DEPENDENCE_FACTOR: f64 = 2.0;
/// Least standard deviation of the logarithms of speed at which servers count as different. Alike
/// servers differ by less, as some carry more load than others.
const SPREAD_MIN: f64 = 0.15;
/// Logarithm of the factor by which a single server must differ from the mean to count as different
/// where the others are alike: one and a half.
const OUTLIER_MIN: f64 = 0.405;
/// Standard errors by which it must differ. With many servers, one is three off by chance.
const OUTLIER_ERRORS_MIN: f64 = 5.0;

/// The spread of speeds over servers.
struct Spread {
    /// The mean logarithm over the servers.
    mean: f64,
    /// The variance of the logarithms over the servers.
    between: f64,
    /// The variance of the logarithm of a single observation.
    within: f64,
}

/// Returns the pace of each server of a service from the observations of all nodes.
///
/// All are exactly 1 unless the servers are known to differ, so that alike servers are treated
/// alike. A server with few observations has a pace near 1; the mean over the servers is 1.
pub fn estimate_paces(servers: &[PaceSum]) -> Vec<f64> {
    let Some(spread) = known_spread(servers) else { return vec![1.0; servers.len()] };
    let speeds: Vec<Option<f64>> = servers.iter().map(|sum| spread.speed(sum)).collect();
    let observed = speeds.iter().flatten();
    let mean = observed.clone().sum::<f64>() / observed.count().max(1) as f64;
    let pace = |speed: f64| (speed / mean).clamp(FACTOR_MAX.recip(), FACTOR_MAX);
    speeds.into_iter().map(|speed| speed.map_or(1.0, pace)).collect()
}

/// Returns the spread over the servers, `None` unless it is more than noise explains.
fn known_spread(servers: &[PaceSum]) -> Option<Spread> {
    let observed: Vec<&PaceSum> = servers.iter().filter(|sum| sum.weight >= WEIGHT_MIN).collect();
    let weight: f64 = observed.iter().map(|sum| sum.weight).sum();
    let degrees = observed.len() as f64 - 1.0;
    if degrees < 1.0 || weight <= observed.len() as f64 {
        return None;
    }
    let squares: f64 = observed.iter().map(|sum| sum.squared_deviations()).sum();
    let within = (squares / (weight - observed.len() as f64)).max(VARIANCE_MIN) * DEPENDENCE_FACTOR;
    let mean = observed.iter().map(|sum| sum.log_sum).sum::<f64>() / weight;
    let deviation = |sum: &&PaceSum| sum.weight * (sum.mean() - mean).powi(2);
    let excess = observed.iter().map(deviation).sum::<f64>() / within - degrees;
    // The method of moments of DerSimonian and Laird for the variance between groups.
    let square_weight: f64 = observed.iter().map(|sum| sum.weight.powi(2)).sum();
    let between = (excess * within / (weight - square_weight / weight)).max(SPREAD_MIN.powi(2));
    let spread = Spread { mean, between, within };
    let is_spread_known = excess > DEVIATIONS_MIN * (2.0 * degrees).sqrt();
    let differ = is_spread_known && between > SPREAD_MIN.powi(2);
    (differ || observed.iter().any(|sum| spread.is_outlier(sum))).then_some(spread)
}

impl Spread {
    fn is_outlier(&self, sum: &PaceSum) -> bool {
        let deviation = (sum.mean() - self.mean).abs();
        let error = (self.within / sum.weight).sqrt();
        deviation >= OUTLIER_MIN && deviation >= OUTLIER_ERRORS_MIN * error
    }

    /// Returns a server's speed, shrunk towards the mean by the uncertainty of its observations;
    /// `None` if there are too few.
    fn speed(&self, sum: &PaceSum) -> Option<f64> {
        if sum.weight < WEIGHT_MIN {
            return None;
        }
        let trust = self.between / (self.between + self.within / sum.weight);
        Some((-(sum.mean() - self.mean) * trust).exp())
    }
}
