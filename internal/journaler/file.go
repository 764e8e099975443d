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

// writeFileAtomic durably replaces the file name by data: it writes and syncs a temporary file, renames it, and syncs
// the directory.
func (j *Journal) writeFileAtomic(name string, data []byte) error {
	path := filepath.Join(j.dir, name)
	if err := writeSynced(path+tempSuffix, data); err != nil {
		return err
	}
	if err := os.Rename(path+tempSuffix, path); err != nil {
		return fmt.Errorf("rename temporary file: %w", err)
	}
	return syncDir(j.dir)
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("create file: %w", wrapDiskFull(err))
	}
	if err := writeAndSync(file, data); err != nil {
		_ = file.Close()
		_ = os.Remove(path) // a full disk has no room for a part of a file; removeTemporary finds what stays
		return err
	}
	return file.Close()
}

func writeAndSync(file *os.File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return fmt.Errorf("write file: %w", wrapDiskFull(err))
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync file: %w", wrapDiskFull(err))
	}
	return nil
}

// wrapDiskFull wraps an error in ErrDiskFull if the disk is full, and returns any other error unchanged.
func wrapDiskFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	return err
}

// removeTemporary removes temporary files that a crash left behind.
func removeTemporary(dir string) error {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+tempSuffix))
	if err != nil {
		return fmt.Errorf("list temporary files: %w", err)
	}
	for _, path := range paths {
		if err := os.Remove(path); err != nil {
			return fmt.Errorf("remove temporary file: %w", err)
		}
	}
	return nil
}

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open directory: %w", err)
	}
	if err := dir.Sync(); err != nil {
		_ = dir.Close()
		return fmt.Errorf("sync directory: %w", err)
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
