"""Program that runs a gateway.

It imports nothing before it holds back the signal to reload the settings, whose default
action would end the process. `run_daemon` lets the signal through.
"""

import signal

__all__ = ["main"]


def main() -> None:
    """Run the gateway command as a standalone program."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    import typer

    from boragespring.cli.gateway_command import gateway

    typer.run(gateway)


if __name__ == "__main__":
    main()
