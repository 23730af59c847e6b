//! Predicts when a pool's targets have room, from the requests that run there.

use crate::ids::Millis;
use crate::in_flight::InFlightRequest;
use crate::pool::Pool;

/// Mean age of the progress of a request, which entry VMs send every 500 ms.
const PROGRESS_LAG_MS: u64 = 250;

/// When room is freed on the targets of a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Free tokens of KV memory by target; zero for a target that takes no request.
    free: Vec<u64>,
    /// Ends of running requests in order: milliseconds from now, target and tokens.
    ends: Vec<(u64, usize, u64)>,
}

impl Forecast {
    /// Returns a forecast from the free tokens of each target and the ends of running requests, as
    /// milliseconds from now, index of the target and tokens that become free.
    ///
    /// ```
    /// use hornbeamloom_kernel::room::Forecast;
    ///
    /// let forecast = Forecast::new(vec![4_000, 1_000], vec![(700, 1, 3_000), (300, 0, 500)]);
    /// assert_eq!(forecast.time_for(4_000, 4_000), Some(0));
    /// // The two targets have room for one request each once the second one has 4,000 tokens free.
    /// assert_eq!(forecast.time_for(8_000, 4_000), Some(700));
    /// ```
    pub fn new(free: Vec<u64>, mut ends: Vec<(u64, usize, u64)>) -> Forecast {
        ends.sort_unstable();
        Forecast { free, ends }
    }

    /// Returns the milliseconds until the targets have had room for `work` tokens in requests of
    /// `size` tokens; `None` if nothing runs that shows it.
    ///
    /// Room on one target does not help a request that needs more than that. Work beyond what runs
    /// now takes as long for its size as what runs now.
    pub fn time_for(&self, work: u64, size: u64) -> Option<u64> {
        let size = size.max(1);
        let usable = |free: u64| free / size * size;
        let mut free = self.free.clone();
        let mut room: u64 = free.iter().map(|free| usable(*free)).sum();
        if room >= work {
            return Some(0);
        }
        for (at, ix, tokens) in &self.ends {
            let Some(free) = free.get_mut(*ix) else {
                continue;
            };
            room -= usable(*free);
            *free += tokens;
            room += usable(*free);
            if room >= work {
                return Some(*at);
            }
        }
        let (last, ..) = self.ends.last()?;
        let beyond = (work - room).saturating_mul(*last);
        Some(last.saturating_add(beyond.checked_div(room)?))
    }
}

/// Returns when the requests in flight on the targets that have `free` tokens are expected to end;
/// `first_ms` is the time to a first token by class, and `pace_us` that of each token.
pub(crate) fn forecast(
    pool: &Pool,
    free: Vec<u64>,
    first_ms: [u64; 2],
    pace_us: u64,
    now: Millis,
) -> Forecast {
    let is_staying = |running: &&InFlightRequest| !pool.targets[running.target_ix].is_leaving();
    let ends = pool.in_flight.values().filter(is_staying).map(|running| {
        let ask = &running.ask;
        let known = u64::from(ask.prompt_tokens) + u64::from(running.tokens);
        let left_ms = running.projected_kv.saturating_sub(known) * pace_us / 1_000;
        let wait_ms = match running.tokens {
            0 => first_ms[ask.class as usize].saturating_sub(now.since(running.granted_at)),
            _ => 0,
        };
        let ends_in_ms = (wait_ms + left_ms).saturating_sub(PROGRESS_LAG_MS);
        (ends_in_ms, running.target_ix, running.projected_kv)
    });
    Forecast::new(free, ends.collect())
}
