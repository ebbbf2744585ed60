// Package sloper measures how memory, messages and processor time grow with size, and carries them to the target size.
package sloper
