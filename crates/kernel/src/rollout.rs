//! Version roll-outs: the order, its phases, and the decisions about them as pure functions.
//!
//! `rollout_pool` applies the decisions to the grants of a pool, `rollout_count` counts outcomes,
//! `rollout_judge` compares the versions, `rollout_record` holds the exchange with the store, and
//! `rollout_control` is the control plug-in.

use serde::{Deserialize, Serialize};

use crate::ids::{Millis, Name, Revision};

/// Share of the allowed exposure that schedulers use, in percent. A fifth of the grants may thus be
/// repeats of requests that the pool has granted before, or be lost before they reach a target.
const EXPOSURE_PERCENT: u64 = 80;
/// Divisor of `Bounds::rollback_ms` that gives the validity of a confirmation by the deciding VM.
/// The rest of that time is needed for the outcomes to arrive and for grants to be used.
const CONFIRMATION_DIVISOR: u64 = 5;
/// Part of the time of a roll-out after which it ends in any case, in percent. The rest is left for
/// writing the verdict and for the operator to read it.
const DEADLINE_PERCENT: u64 = 88;

/// Limits on the exposure to a version that has not been found good, from the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Largest share of a service's requests, in thousandths.
    pub share_permille: u32,
    /// Time in milliseconds after which a bad version gets no request.
    pub rollback_ms: u64,
}

/// An operator's order to move the traffic of a service to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// The version to move to.
    pub to: Name,
    /// Time for the verdict, in milliseconds.
    pub duration_ms: u64,
    /// Version of the order's row; tells this order from an earlier one for the same version.
    pub revision: Revision,
    /// Limits on the exposure.
    pub bounds: Bounds,
}

/// How far a roll-out has come. A later phase takes precedence over an earlier one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Phase {
    /// The version gets a share of the requests.
    #[default]
    InProgress,
    /// The version was found good; traffic moves over to it.
    Promoting,
    /// The version was found bad; the verdict is not written yet.
    Reverting,
    /// The verdict `reverted` is written.
    Reverted,
    /// The verdict `completed` is written.
    Completed,
}

impl Phase {
    /// Whether the verdict is written.
    ///
    /// ```
    /// use hornbeamloom_kernel::rollout::Phase;
    ///
    /// assert!(Phase::Reverted.is_final());
    /// assert!(!Phase::Reverting.is_final());
    /// ```
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Reverted | Phase::Completed)
    }
}

/// What a VM knows about a roll-out when it decides which versions may get requests.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The order.
    pub order: &'a Order,
    /// The phase as known here.
    pub phase: Phase,
    /// When the deciding VM, or the status row, last confirmed that the roll-out is in progress.
    pub confirmed_at: Option<Millis>,
    /// Whether the copy of the operator's rows is recent enough.
    pub has_current_rows: bool,
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
    /// Whether any target of another version is registered.
    pub has_old_targets: bool,
}

/// Which versions of a service may get requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// All versions but the new one.
    OldOnly,
    /// All versions, the new one within its share until the given time.
    Shared {
        /// The share in thousandths.
        permille: u32,
        /// When the share ends unless it is confirmed again.
        until: Millis,
    },
    /// The new version.
    NewOnly,
    /// All versions.
    Open,
}

/// Decides which versions may get requests.
///
/// Without a recent confirmation the new version gets nothing: whoever finds it bad need not reach
/// this VM. If no other version is registered, only the new one can serve: the order names the version
/// that is in use, or this VM missed a `completed` after which the operator stopped the old targets.
///
/// ```
/// use hornbeamloom_kernel::ids::{Millis, Revision};
/// use hornbeamloom_kernel::rollout::{gate, Bounds, Gate, Order, Phase, View};
///
/// let bounds = Bounds { share_permille: 100, rollback_ms: 5_000 };
/// let order = Order {
///     service: "menu-model".into(),
///     to: "v2".into(),
///     duration_ms: 12_000,
///     revision: Revision(7),
///     bounds,
/// };
/// let view = View {
///     order: &order,
///     phase: Phase::InProgress,
///     confirmed_at: None,
///     has_current_rows: true,
///     elapsed_ms: 100,
///     has_old_targets: true,
/// };
/// assert_eq!(gate(&view), Gate::OldOnly);
/// let confirmed = View { confirmed_at: Some(Millis(500)), ..view };
/// assert_eq!(gate(&confirmed), Gate::Shared { permille: 100, until: Millis(2_500) });
/// ```
pub fn gate(view: &View<'_>) -> Gate {
    let is_over = view.elapsed_ms >= view.order.duration_ms;
    match (view.phase, view.confirmed_at) {
        (Phase::Promoting | Phase::Completed, _) => Gate::NewOnly,
        (Phase::Reverting | Phase::Reverted, _) => Gate::OldOnly,
        (Phase::InProgress, _) if !view.has_old_targets => Gate::Open,
        (Phase::InProgress, Some(at)) if view.has_current_rows && !is_over => Gate::Shared {
            permille: view.order.bounds.share_permille,
            until: at.after(confirmation_ms(&view.order.bounds)),
        },
        (Phase::InProgress, _) => Gate::OldOnly,
    }
}

/// Time for which a confirmation of a roll-out in progress is valid, in milliseconds.
pub(crate) fn confirmation_ms(bounds: &Bounds) -> u64 {
    bounds.rollback_ms * 2 / CONFIRMATION_DIVISOR
}

/// Time after the order at which a verdict is due in any case, in milliseconds.
///
/// ```
/// use hornbeamloom_kernel::rollout::deadline_ms;
///
/// assert!(deadline_ms(12_000) > 10_000);
/// assert!(deadline_ms(12_000) < 11_000);
/// ```
pub fn deadline_ms(duration_ms: u64) -> u64 {
    duration_ms * DEADLINE_PERCENT / 100
}

/// Whether another grant to the new version keeps it within its share of a scheduler's grants.
///
/// `granted` counts the scheduler's own grants since the order, and `granted_new` those to the new
/// version. Each scheduler that stays within the share by itself keeps their sum within it.
///
/// ```
/// use hornbeamloom_kernel::rollout::is_within_share;
///
/// assert!(!is_within_share(0, 0, 100));
/// assert!(!is_within_share(0, 11, 100));
/// assert!(is_within_share(0, 12, 100));
/// assert!(!is_within_share(1, 13, 100));
/// ```
pub fn is_within_share(granted_new: u64, granted: u64, permille: u32) -> bool {
    let allowed = (granted + 1) * u64::from(permille) * EXPOSURE_PERCENT;
    (granted_new + 1) * 1_000 * 100 <= allowed
}

/// Whether traffic has moved over: nothing runs on the old version on any VM that answers.
///
/// `running_old` holds, for each VM that can be asked, the number of its requests that run on the
/// old version, or `None` if the VM has not yet told since the version was found good.
///
/// ```
/// use hornbeamloom_kernel::rollout::has_moved_over;
///
/// assert!(has_moved_over([Some(0), Some(0)]));
/// assert!(!has_moved_over([Some(0), None]));
/// assert!(!has_moved_over([Some(2)]));
/// ```
pub fn has_moved_over(running_old: impl IntoIterator<Item = Option<u32>>) -> bool {
    running_old.into_iter().all(|running| running == Some(0))
}

/// The state of a roll-out in its status row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StatusState {
    /// No verdict yet.
    InProgress,
    /// The version serves all traffic.
    Completed,
    /// The version was withdrawn.
    Reverted,
}

/// The contents of a status row.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// The state.
    pub state: StatusState,
    /// The version that the state refers to.
    pub to: Name,
}

/// The phase that a status row shows for `order`; `None` if the row belongs to another order.
///
/// Versions can recur, so the row counts only if it was written after the order.
///
/// ```
/// use hornbeamloom_kernel::ids::Revision;
/// use hornbeamloom_kernel::rollout::{phase_of, Bounds, Order, Phase, Status, StatusState};
///
/// let bounds = Bounds { share_permille: 100, rollback_ms: 5_000 };
/// let order = Order {
///     service: "menu-model".into(),
///     to: "v2".into(),
///     duration_ms: 12_000,
///     revision: Revision(7),
///     bounds,
/// };
/// let status = Status { state: StatusState::Completed, to: "v2".into() };
/// assert_eq!(phase_of(&status, Revision(8), &order), Some(Phase::Completed));
/// assert_eq!(phase_of(&status, Revision(6), &order), None);
/// ```
pub fn phase_of(status: &Status, version: Revision, order: &Order) -> Option<Phase> {
    let is_own = status.to == order.to && version > order.revision;
    is_own.then_some(match status.state {
        StatusState::InProgress => Phase::InProgress,
        StatusState::Completed => Phase::Completed,
        StatusState::Reverted => Phase::Reverted,
    })
}
