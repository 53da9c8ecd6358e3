"""Runs the command line as `python -m decklb`."""

from decklb.cli import main

if __name__ == "__main__":
    main(prog_name="decklb")
