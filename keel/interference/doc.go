// Package interference estimates which tasks slow each other down on one worker, by the images that they run.
//
// A Table takes one observation for each run: how long it took, or how long the tail of its responses is, against what is
// expected of its image, and which images ran beside it. For each image it keeps a weighted linear regression of the
// logarithm of that ratio on the images beside it and on the use of the worker, with weights that fade. A pair is found
// once its effect is large, and certain beyond what chance, load and a slow worker explain. Its size is bounded.
package interference
