//! Orders to engines, sent in tasks of their own with a deadline.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamloom_kernel::reconcile::{Action, Answer, Order};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::Instant;
use warp::http::StatusCode;

use crate::control::{Control, Input};
use crate::http::{self, Fault};

/// Orders that may wait; further ones are refused, and the kernel tries them again later.
const WAITING_MAX: usize = 256;

/// Orders sent at a time.
const SENDING_MAX: usize = 16;

/// Header that carries the fencing token.
const FENCING_TOKEN: &str = "x-fencing-token";

struct Waiting {
    order: Order,
    deadline: Instant,
}

/// The queue of orders.
#[derive(Debug)]
pub(crate) struct Queue {
    waiting: mpsc::Sender<Waiting>,
    control: Control,
}

impl Queue {
    /// Starts the task that sends orders.
    pub(crate) fn new(control: &Control, client: &reqwest::Client) -> Queue {
        let (waiting, receiver) = mpsc::channel(WAITING_MAX);
        tokio::spawn(work(receiver, control.clone(), client.clone()));
        Queue { waiting, control: control.clone() }
    }

    /// Queues an order; never waits.
    pub(crate) fn push(&self, order: Order) {
        let deadline = Instant::now() + Duration::from_millis(order.deadline_ms);
        if let Err(error) = self.waiting.try_send(Waiting { order, deadline }) {
            metrics::counter!("hornbeamloom_orders_overflow_total").increment(1);
            let order = error.into_inner().order;
            self.control.tell(Input::OrderAnswered(order, Answer::Refused));
        }
    }
}

async fn work(mut receiver: mpsc::Receiver<Waiting>, control: Control, client: reqwest::Client) {
    let sending = Arc::new(Semaphore::new(SENDING_MAX));
    while let Some(Waiting { order, deadline }) = receiver.recv().await {
        let permit = sending.clone().acquire_owned().await;
        let (control, client) = (control.clone(), client.clone());
        tokio::spawn(async move {
            let _permit = permit;
            let answer = send(&client, &order, deadline).await;
            control.tell(Input::OrderAnswered(order, answer));
        });
    }
}

async fn send(client: &reqwest::Client, order: &Order, deadline: Instant) -> Answer {
    let rest = deadline.saturating_duration_since(Instant::now());
    // An order sent after its deadline could overtake one of a later holder.
    if rest.is_zero() {
        return Answer::Refused;
    }
    let (path, field, value) = match &order.action {
        Action::Load(model) => ("/v1/models/load", "model", model),
        Action::Unload(model) => ("/v1/models/unload", "model", model),
        Action::Role(role) => ("/v1/role", "role", role),
    };
    let body = Bytes::from(serde_json::json!({ field: &**value }).to_string());
    let request = client
        .post(format!("http://{}{path}", order.address))
        .header(FENCING_TOKEN, order.fence.0)
        .header(reqwest::header::CONTENT_TYPE, "application/json");
    let request = http::with_length(request, &body);
    match http::send(request, body, rest, || {}).await {
        Ok(response) => match response.status() {
            StatusCode::OK | StatusCode::ACCEPTED => Answer::Accepted,
            StatusCode::CONFLICT => Answer::Fenced,
            _ => Answer::Refused,
        },
        Err(Fault::Unsent | Fault::Refused) => Answer::Refused,
        Err(_) => Answer::Unknown,
    }
}
