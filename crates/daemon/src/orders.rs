//! Orders to engines, each sent in a separate task with a deadline.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hornbeamloom_kernel::reconcile::{Action, Answer, Order};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::Instant;
use warp::http::StatusCode;

use crate::control::{Control, Input};
use crate::http::{self, ExchangeError};

/// Orders that can be queued. Further ones are refused, and the kernel retries them later.
const MAX_QUEUED: usize = 256;

/// Orders in flight at a time.
const MAX_IN_FLIGHT: usize = 16;

/// Header that carries the fencing token.
const FENCING_TOKEN: &str = "x-fencing-token";

struct QueuedOrder {
    order: Order,
    deadline: Instant,
}

/// The queue of orders.
#[derive(Debug)]
pub(crate) struct Queue {
    queue: mpsc::Sender<QueuedOrder>,
    control: Control,
}

impl Queue {
    /// Creates the queue and starts the task that sends its orders.
    pub(crate) fn new(control: &Control, client: &reqwest::Client) -> Queue {
        let (queue, queued) = mpsc::channel(MAX_QUEUED);
        tokio::spawn(run(queued, control.clone(), client.clone()));
        Queue { queue, control: control.clone() }
    }

    /// Queues an order without waiting.
    pub(crate) fn push(&self, order: Order) {
        let deadline = Instant::now() + Duration::from_millis(order.deadline_ms);
        if let Err(error) = self.queue.try_send(QueuedOrder { order, deadline }) {
            metrics::counter!("hornbeamloom_orders_overflow_total").increment(1);
            let order = error.into_inner().order;
            self.control.tell(Input::OrderAnswered(order, Answer::Refused));
        }
    }
}

async fn run(mut queued: mpsc::Receiver<QueuedOrder>, control: Control, client: reqwest::Client) {
    let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    while let Some(QueuedOrder { order, deadline }) = queued.recv().await {
        let permit = in_flight.clone().acquire_owned().await;
        let (control, client) = (control.clone(), client.clone());
        tokio::spawn(async move {
            let _permit = permit;
            let answer = send(&client, &order, deadline).await;
            control.tell(Input::OrderAnswered(order, answer));
        });
    }
}

async fn send(client: &reqwest::Client, order: &Order, deadline: Instant) -> Answer {
    let remaining = deadline.saturating_duration_since(Instant::now());
    // An order sent after its deadline could override one of a later lease holder.
    if remaining.is_zero() {
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
    let request = http::with_content_length(request, &body);
    match http::send(request, body, remaining, || {}).await {
        Ok(response) => match response.status() {
            StatusCode::OK | StatusCode::ACCEPTED => Answer::Accepted,
            StatusCode::CONFLICT => Answer::Fenced,
            _ => Answer::Refused,
        },
        Err(ExchangeError::Unsent | ExchangeError::ConnectionRefused) => Answer::Refused,
        Err(_) => Answer::Unknown,
    }
}
