"""Adapter between the callers' HTTP threads and the entry's event loop."""

import attrs

from anvilford.daemon._runtime import EntryRuntime
from anvilford.entry import SubmissionRequested
from anvilford.model import encode_answer
from anvilford.model import EncodedAnswer
from anvilford.model import JobSpec
from anvilford.model import Pending
from anvilford.model import SubmissionId
from anvilford.protocol import RequestKind

# Deadline of status and cancel requests, which carry none of their own. The
# owner of the submission answers them without waiting for the job.
STATUS_REQUEST_DEADLINE_MS = 2000


@attrs.frozen
class CallerAdapter:
    """Implements `CallerPort` on an `EntryRuntime`.

    Attributes:
        runtime: The running entry.
        wait_limit_ms: Longest wait for an answer, after which the caller is
            told that the submission is pending.
    """

    runtime: EntryRuntime
    wait_limit_ms: int

    def is_ready(self) -> bool:
        """Returns whether the entry accepts requests for submissions."""
        runtime = self.runtime
        return runtime.core.is_ready(runtime.loop.time())

    def is_draining(self) -> bool:
        """Returns whether a planned stop has begun."""
        return self.runtime.core.is_draining

    def issue_ids(self, caller: str, count: int) -> list[str]:
        """Issues `count` submission ids to a caller."""
        ids = self.runtime.call_from_thread(
            lambda: self.runtime.core.issue_ids(caller, count)
        )
        return [str(submission_id) for submission_id in ids]

    def serve(
        self,
        caller: str,
        submission_id: SubmissionId,
        kind: RequestKind,
        job: JobSpec | None,
        body: bytes,
        traceparent: str,
    ) -> EncodedAnswer:
        """Passes a request to the entry and waits for the answer.

        The answer is `Pending` if there is none within `wait_limit_ms`. See
        `CallerPort` for the arguments.
        """
        deadline_ms = job.deadline_ms if job else STATUS_REQUEST_DEADLINE_MS
        runtime = self.runtime
        with runtime.tracing.span(
            f"submission.{kind.name.lower()}", traceparent, caller=caller
        ) as context:
            answer = runtime.request_from_thread(
                lambda request_id: SubmissionRequested(
                    request_id,
                    caller,
                    submission_id,
                    kind,
                    job,
                    body,
                    deadline_ms,
                    traceparent=context,
                ),
                self.wait_limit_ms / 1000,
            )
        return encode_answer(Pending()) if answer is None else answer
