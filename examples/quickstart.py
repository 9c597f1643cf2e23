"""Runs a job on a small site of real processes and prints the answer.

Run it with `./run-example` or `python -m examples.quickstart`.
"""

import json

from standins.cluster import job_document
from standins.cluster import Site


def main() -> None:
    """Starts a site with two zones and submits one job at both entries.

    The second submission has the same id, so it receives the same answer and
    starts no task again.
    """
    with Site(zones=("quimper-a", "lorient-a"), entries_per_zone=1) as site:
        first, second = site.entries
        submission_id = site.issue_submission_ids(first)[0]
        print(f"submission id  {submission_id}")
        answer = site.submit(
            first, submission_id, job_document(count=6, run_ms=80)
        )
        print(json.dumps(answer, indent=2))
        again = site.submit(
            second, submission_id, job_document(count=6, run_ms=80)
        )
        print(f"same answer when resubmitted elsewhere: {again == answer}")
        print(f"tasks started at targets: {len(site.task_starts())}")


if __name__ == "__main__":
    main()
