//! Which versions are open, by what a VM knows.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::ids::{Millis, Revision};
use hornbeamloom_kernel::rollout::{
    gate, phase_of, Bounds, Gate, Order, Phase, Status, StatusState, View,
};

fn order() -> Order {
    Order {
        service: "menu-model".into(),
        to: "v2".into(),
        duration_ms: 12_000,
        revision: Revision(7),
        bounds: Bounds { share_permille: 100, rollback_ms: 5_000 },
    }
}

/// Changes the view of a VM that has just had its exposure confirmed.
type Change = fn(View<'_>) -> View<'_>;

fn gates(change: Change, expected: Gate) {
    let order = order();
    let confirmed = View {
        order: &order,
        phase: Phase::InProgress,
        confirmed_at: Some(Millis(1_000)),
        has_current_rows: true,
        elapsed_ms: 900,
        has_old_targets: true,
    };
    assert_eq!(gate(&change(confirmed)), expected);
}

cases! {
    gates;
    confirmed_exposure_ends_by_itself: (|view| view, Gate::Shared { permille: 100, until: Millis(3_000) });
    // Guards against exposure without contact to the deciding VM.
    no_confirmation: (|view| View { confirmed_at: None, ..view }, Gate::OldOnly);
    // Guards against exposure under an order that may have been withdrawn.
    old_rows: (|view| View { has_current_rows: false, ..view }, Gate::OldOnly);
    // Guards against a share that goes on after the time of the roll-out.
    overdue: (|view| View { elapsed_ms: 12_000, ..view }, Gate::OldOnly);
    // Guards against a VM that serves nothing as it missed the verdict and the old targets are gone.
    no_old_targets: (|view| View { has_old_targets: false, confirmed_at: None, ..view }, Gate::Open);
    good_version: (|view| View { phase: Phase::Promoting, ..view }, Gate::NewOnly);
    bad_version: (|view| View { phase: Phase::Reverting, ..view }, Gate::OldOnly);
    completed: (|view| View { phase: Phase::Completed, has_current_rows: false, ..view }, Gate::NewOnly);
    reverted: (|view| View { phase: Phase::Reverted, has_old_targets: false, ..view }, Gate::OldOnly);
}

fn status_row(state: StatusState, to: &str, version: u64, expected: Option<Phase>) {
    let status = Status { state, to: to.into() };
    assert_eq!(phase_of(&status, Revision(version), &order()), expected);
}

cases! {
    status_row;
    row_of_this_order: (StatusState::Reverted, "v2", 8, Some(Phase::Reverted));
    // Guards against a verdict on an earlier order of the same version, which recurs.
    row_of_an_earlier_order: (StatusState::Completed, "v2", 6, None);
    row_of_another_version: (StatusState::Completed, "v1", 8, None);
}
