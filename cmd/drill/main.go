// Command drill runs instances of the module on the simulator's wire.
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

// serve answers each line of in with a line on out until in ends.
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
			if _, werr := out.Write(reply); werr != nil {
				return werr
			}
		}
		if err != nil {
			return nil
		}
	}
}

// answer turns a panic of the module into an Exception.
func handleLine(host *wire.Host, line []byte) (reply []byte, err error) {
	defer func() {
		if p := recover(); p != nil {
			reply, err = wire.ExceptionReply(line, fmt.Sprint("panic: ", p)), nil
		}
	}()
	return host.HandleLine(line)
}
