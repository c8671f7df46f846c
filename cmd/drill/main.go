// Command drill runs instances of the decision module for a simulator, over JSON lines on standard input and output.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"rainpulley/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// serve reads lines from in until its end and writes one reply line to out for each.
func serve(in io.Reader, out io.Writer) error {
	host := wire.NewHost()
	r := bufio.NewReaderSize(in, 1<<20)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(bytes.TrimSpace(line)) > 0 {
			reply, lineErr := handleLine(host, line)
			if lineErr != nil {
				return lineErr
			}
			if _, writeErr := out.Write(reply); writeErr != nil {
				return writeErr
			}
		}
		if err != nil {
			return nil
		}
	}
}

// handleLine returns the reply to a line; a panic of the decision code is returned as an Exception reply.
func handleLine(host *wire.Host, line []byte) (reply []byte, err error) {
	defer func() {
		if p := recover(); p != nil {
			reply, err = wire.ExceptionReply(line, fmt.Sprint("panic: ", p)), nil
		}
	}()
	return host.HandleLine(line)
}
