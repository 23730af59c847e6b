//! Stops the runs of a generation at targets that it has left.
//!
//! Most targets drop a request when its connection closes, but some run it to its end. Once another
//! target continues the generation, each one that it has left is therefore sent a final copy request,
//! which stops a run, and the copy is released.

use std::future::Future;
use std::time::Duration;

use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::map::Map;
use hornbeamloom_kernel::outcome::Start;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::generation::{CopyError, CopyRequest, KvCopy};
use crate::metrics;

/// Delay of the first stop order, in which a target can notice that the connection was closed. One
/// that drops the request then has nothing to copy.
const CLOSE_NOTICE_DELAY: Duration = Duration::from_millis(50);
/// Delay of the second stop order. It doubles with each further one.
const RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_STOP_ORDERS: u32 = 5;

/// The targets that a generation has left and that may still run it.
pub(crate) struct Tracker<C, R> {
    copy: C,
    release: R,
    /// Targets that were left and not sent a stop order yet.
    left: Vec<Start>,
    /// Stop orders since the generation was last opened at a target, by target.
    orders: Map<Name, AbortHandle>,
}

impl<C, R, CF, RF> Tracker<C, R>
where
    C: Fn(CopyRequest) -> CF + Clone + Send + 'static,
    CF: Future<Output = Result<KvCopy, CopyError>> + Send,
    R: Fn(Start, String) -> RF + Clone + Send + 'static,
    RF: Future<Output = ()> + Send + 'static,
{
    /// A tracker for a generation that runs nowhere yet.
    pub(crate) fn new(copy: C, release: R) -> Tracker<C, R> {
        Tracker { copy, release, left: Vec::new(), orders: Map::default() }
    }

    /// Records that the connection to a target was closed before its run has ended. A target that has
    /// got a stop order since the generation was last opened there gets no other one.
    pub(crate) fn leave(&mut self, start: &Start) {
        let is_left = self.left.iter().any(|left| left.target == start.target);
        if !is_left && !self.orders.contains_key(&start.target) {
            self.left.push(start.clone());
        }
    }

    /// Withdraws the stop order to a target at which the generation is about to be opened, since it
    /// could stop the new run. Returns whether there was one in progress.
    pub(crate) fn withdraw(&mut self, target: &str) -> bool {
        let Some(order) = self.orders.remove(target) else {
            return false;
        };
        order.abort();
        !order.is_finished()
    }

    /// Whether a target may still run the generation although it was told to stop.
    pub(crate) fn is_stopping(&self, target: &str) -> bool {
        self.orders.get(target).is_some_and(|order| !order.is_finished())
    }

    /// Sends a stop order to each target that was left, because the generation runs at `next`.
    pub(crate) fn stop_left(&mut self, next: &Start) {
        for source in std::mem::take(&mut self.left) {
            if source.target != next.target {
                self.spawn_order(&source, next, None);
            }
        }
    }

    /// Sends a stop order to the source of a generation that continues at `next`, unless the result
    /// of an earlier one shows that it has stopped.
    pub(crate) fn ensure_stopped(
        &mut self,
        source: &Start,
        next: &Start,
        earlier: oneshot::Receiver<Result<KvCopy, CopyError>>,
    ) {
        self.spawn_order(source, next, Some(earlier));
    }

    fn spawn_order(
        &mut self,
        source: &Start,
        next: &Start,
        earlier: Option<oneshot::Receiver<Result<KvCopy, CopyError>>>,
    ) {
        let (copy, release) = (self.copy.clone(), self.release.clone());
        let (source, destination) = (source.clone(), next.address.clone());
        let target = source.target.clone();
        let order = tokio::spawn(async move {
            let is_stopped = match earlier {
                Some(earlier) => earlier.await.is_ok_and(|result| has_no_run(&result)),
                None => false,
            };
            if !is_stopped {
                stop(copy, release, source, destination).await;
            }
        });
        self.orders.insert(target, order.abort_handle());
    }
}

/// Whether the result of a final copy shows that the target does not run the generation.
fn has_no_run(result: &Result<KvCopy, CopyError>) -> bool {
    matches!(result, Ok(_) | Err(CopyError::Refused(Some(_)) | CopyError::NotRunning))
}

/// Sends stop orders until the target reports that it does not run the generation.
async fn stop<C, R, CF, RF>(copy: C, release: R, source: Start, destination: String)
where
    C: Fn(CopyRequest) -> CF,
    CF: Future<Output = Result<KvCopy, CopyError>>,
    R: Fn(Start, String) -> RF,
    RF: Future<Output = ()>,
{
    let Start { id, target, .. } = &source;
    let request = CopyRequest {
        source_target: target.clone(),
        source: source.address.clone(),
        destination,
        stops_source: true,
    };
    let mut delay = CLOSE_NOTICE_DELAY;
    for number in 1..=MAX_STOP_ORDERS {
        tokio::time::sleep(delay).await;
        delay = RETRY_DELAY * 2_u32.pow(number - 1);
        match copy(request.clone()).await {
            Ok(KvCopy { handle, .. }) | Err(CopyError::Refused(Some(handle))) => {
                log::info!("request={id} target={target} stopped after its generation left");
                metrics::count_stop_order("stopped");
                return release(source.clone(), handle).await;
            }
            Err(CopyError::NotRunning) => return metrics::count_stop_order("not_running"),
            Err(CopyError::Refused(None) | CopyError::Unknown) => {}
        }
    }
    // A target that is gone does not respond either.
    log::info!("request={id} target={target} has not confirmed that its run has stopped");
    metrics::count_stop_order("failed");
}
