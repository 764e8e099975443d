package journaler

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"syscall"
)

const tempSuffix = ".new"

// writeFileAtomic makes name durable with data: written beside, synced, renamed, and the folder synced.
func (j *Journal) writeFileAtomic(name string, data []byte) error {
	path := filepath.Join(j.dir, name)
	if err := writeSynced(path+tempSuffix, data); err != nil {
		return err
	}
	if err := os.Rename(path+tempSuffix, path); err != nil {
		return fmt.Errorf("rename into place: %w", err)
	}
	return syncDir(j.dir)
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return fmt.Errorf("write file: %w", wrapDiskFull(err))
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return fmt.Errorf("sync file: %w", err)
	}
	return file.Close()
}

// wrapDiskFull marks an error that says that the disk is full.
func wrapDiskFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	return err
}

// removeTemporary drops files that a crash left half written.
func removeTemporary(dir string) error {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+tempSuffix))
	if err != nil {
		return fmt.Errorf("list unfinished files: %w", err)
	}
	for _, path := range paths {
		if err := os.Remove(path); err != nil {
			return fmt.Errorf("remove unfinished file: %w", err)
		}
	}
	return nil
}

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	if err := dir.Sync(); err != nil {
		_ = dir.Close()
		return fmt.Errorf("sync folder: %w", err)
	}
	return dir.Close()
}

func withChecksum(payload []byte) []byte {
	sum := crc32.Checksum(payload, castagnoli)
	return append(binary.LittleEndian.AppendUint32(nil, sum), payload...)
}

func verifyChecksum(data []byte) ([]byte, error) {
	const sumBytes = 4
	if len(data) < sumBytes {
		return nil, errBadRecord
	}
	payload := data[sumBytes:]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data) {
		return nil, errBadRecord
	}
	return payload, nil
}
