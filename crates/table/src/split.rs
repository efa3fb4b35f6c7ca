//! Distribution of requests over the services of a traffic split.

use std::collections::BTreeMap;

use crate::ServiceName;
use crate::route::Share;

/// Smooth weighted round robin.
///
/// Each choice keeps the request counts close to the weights, so that short sequences of requests
/// follow the weights as well.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credit: BTreeMap<ServiceName, f64>,
}

impl Split {
    /// Returns the index of the share that gets the next request, or `None` if no share has a
    /// positive weight.
    pub fn next(&mut self, shares: &[Share]) -> Option<usize> {
        let total: f64 = shares.iter().map(|share| share.weight.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        self.credit.retain(|name, _| shares.iter().any(|share| share.service == *name));
        let mut best: Option<(usize, f64)> = None;
        for (index, share) in shares.iter().enumerate() {
            let credit = self.credit.entry(share.service.clone()).or_default();
            *credit += share.weight.max(0.0) / total;
            if share.weight > 0.0 && best.is_none_or(|(_, max)| *credit > max) {
                best = Some((index, *credit));
            }
        }
        let (index, _) = best?;
        *self.credit.get_mut(&shares[index].service)? -= 1.0;
        Some(index)
    }
}
